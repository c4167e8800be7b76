#include "configuration/json.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cctype>

namespace elderkeel::configuration {
namespace {

constexpr unsigned kParseFlags = rapidjson::kParseIterativeFlag |
                                 rapidjson::kParseValidateEncodingFlag |
                                 rapidjson::kParseFullPrecisionFlag;

// Returns whether `text` is nested deeper than kMaxJsonDepth. Scans the text before it is parsed
// and skips brackets inside strings.
bool IsTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    char character = text[i];
    if (in_string) {
      if (character == '\\') {
        ++i;
      } else if (character == '"') {
        in_string = false;
      }
    } else if (character == '"') {
      in_string = true;
    } else if (character == '{' || character == '[') {
      if (++depth > kMaxJsonDepth) return true;
    } else if (character == '}' || character == ']') {
      --depth;
    }
  }
  return false;
}

tl::unexpected<base::Error> ParseFailure(const char* reason) {
  return base::Failure(base::ErrorCode::kInvalidArgument, "configuration.parse", "", reason);
}

}  // namespace

base::Status ParseObject(std::string_view text, rapidjson::Document* document) {
  if (IsTooDeep(text)) return ParseFailure("nested deeper than 32 levels");
  document->Parse<kParseFlags>(text.data(), text.size());
  if (document->HasParseError()) return ParseFailure("not valid JSON, or truncated");
  if (!document->IsObject()) return ParseFailure("not a JSON object");
  return {};
}

std::string WriteJson(const rapidjson::Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
    return static_cast<char>(std::tolower(character));
  });
  return text;
}

int64_t IntegerOr(const rapidjson::Value& object, const char* name, int64_t fallback) {
  auto member = object.FindMember(name);
  if (member == object.MemberEnd() || !member->value.IsNumber()) return fallback;
  const rapidjson::Value& value = member->value;
  return value.IsInt64() ? value.GetInt64() : static_cast<int64_t>(value.GetDouble());
}

const char* LabelOf(const rapidjson::Value& item) {
  if (!item.IsObject()) return nullptr;
  auto label = item.FindMember("label");
  return label != item.MemberEnd() && label->value.IsString() ? label->value.GetString() : nullptr;
}

}  // namespace elderkeel::configuration
