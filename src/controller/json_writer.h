#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string>

namespace elderkeel::controller {

// Writes a JSON document member by member, in the order of the calls. The caller closes each object
// and array that it begins; text() then returns the document.
class JsonWriter {
 public:
  void BeginObject() { writer_.StartObject(); }
  void BeginObject(const char* key) {
    writer_.Key(key);
    writer_.StartObject();
  }
  void EndObject() { writer_.EndObject(); }
  void BeginArray(const char* key) {
    writer_.Key(key);
    writer_.StartArray();
  }
  void EndArray() { writer_.EndArray(); }

  void Text(const char* key, const std::string& value) {
    writer_.Key(key);
    writer_.String(value.c_str());
  }
  // Writes null if `value` is empty.
  void TextOrNull(const char* key, const std::string& value) {
    writer_.Key(key);
    if (value.empty()) {
      writer_.Null();
    } else {
      writer_.String(value.c_str());
    }
  }
  void Number(const char* key, int64_t value) {
    writer_.Key(key);
    writer_.Int64(value);
  }
  void Number(const char* key, uint64_t value) { Number(key, static_cast<int64_t>(value)); }
  void Flag(const char* key, bool value) {
    writer_.Key(key);
    writer_.Bool(value);
  }
  // An item of the array that was begun last.
  void TextItem(const std::string& value) { writer_.String(value.c_str()); }

  std::string text() const { return {buffer_.GetString(), buffer_.GetSize()}; }

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_{buffer_};
};

}  // namespace elderkeel::controller
