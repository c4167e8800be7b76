#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string>

namespace elderkeel::controller {

// A JSON document as it is written.
struct JsonText {
  using Writer = rapidjson::Writer<rapidjson::StringBuffer>;
  rapidjson::StringBuffer buffer;
  Writer writer{buffer};

  void Text(const char* key, const std::string& value) {
    writer.Key(key);
    writer.String(value.c_str());
  }
  void Number(const char* key, int64_t value) {
    writer.Key(key);
    writer.Int64(value);
  }
  std::string Take() const { return {buffer.GetString(), buffer.GetSize()}; }
};

}  // namespace elderkeel::controller
