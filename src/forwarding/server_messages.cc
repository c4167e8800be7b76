#include "forwarding/server_messages.h"

#include <algorithm>
#include <string_view>

#include "forwarding/protocol_headers.h"

namespace elderkeel::forwarding {
namespace {

bool IsProtocolHeader(std::string_view name) {
  std::string_view prefix = kProtocolHeaderPrefix;
  return name.size() > prefix.size() && http::EqualNoCase(name.substr(0, prefix.size()), prefix);
}

// Headers of the client that aren't copied: SerializeRequest() writes its own values of the first
// two, and a request is sent to the server without Expect.
bool IsReplaced(const std::string& name) {
  return http::EqualNoCase(name, kRemainingHeader) ||
         http::EqualNoCase(name, kExpectedServerHeader) || http::EqualNoCase(name, "Expect");
}

bool IsLengthHeader(const std::string& name) {
  return http::EqualNoCase(name, "Content-Length") || http::EqualNoCase(name, "Transfer-Encoding");
}

void AppendHeader(std::string_view name, std::string_view value, std::string* out) {
  out->append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

std::string SerializeRequest(const http::Message& request, const std::string& server_id,
                             base::Millis remaining_ms) {
  std::string out;
  out.reserve(512 + request.body.size());
  out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  const std::string* header_value = request.Find("Connection");
  std::string_view connection = header_value ? std::string_view(*header_value) : std::string_view();
  bool has_length = false;
  for (const http::Header& header : request.headers) {
    if (IsReplaced(header.name)) continue;
    if (IsLengthHeader(header.name)) {
      has_length = true;
      continue;
    }
    // A client's Connection header must not remove headers of the protocol, such as the attempt id.
    if (!IsProtocolHeader(header.name) && http::IsHopByHop(header.name, connection)) continue;
    AppendHeader(header.name, header.value, &out);
  }
  AppendHeader(kRemainingHeader, std::to_string(std::max<base::Millis>(1, remaining_ms)), &out);
  AppendHeader(kExpectedServerHeader, server_id, &out);
  if (has_length || !request.body.empty()) {
    AppendHeader("Content-Length", std::to_string(request.body.size()), &out);
  }
  out.append("\r\n").append(request.body);
  return out;
}

std::string FindAnswerFault(const http::Message& answer, const std::string& attempt_id) {
  if (!IsSuccess(answer.status)) return "";
  if (!answer.Find(kSealHeader)) return "no Elderkeel-Server-Seal header";
  const std::string* id = answer.Find(kAttemptIdHeader);
  if (!id || *id != attempt_id) return "attempt id missing or different";
  if (answer.Find("Content-Encoding")) return "Content-Encoding is not allowed";
  return "";
}

bool IsMarkedNotExecuted(const http::Message& answer) {
  bool marked = answer.status == 421 || answer.Find(kNotExecutedHeader) != nullptr;
  return marked && !IsSuccess(answer.status);
}

bool PromisesNotExecuted(int status) { return status == 503 || status == 429 || status == 408; }

bool IsFinalStatus(int status) {
  return IsSuccess(status) || (status < 500 && status != 429 && status != 408);
}

}  // namespace elderkeel::forwarding
