#pragma once

#include <functional>
#include <string>
#include <vector>

#include "controller/context.h"
#include "diagnosis/diagnosis.h"
#include "http/http_server.h"

namespace elderkeel::controller {

// Puts a caller's question to all proxies that are known and answers with what they reply. It needs
// no majority: whoever does not reply is named in the answer.
class DiagnosisService {
 public:
  using Ticket = http::HttpServer::Ticket;
  using Answer = std::function<void(Ticket, const http::Message&)>;
  // Writes the answer to a question about the nodes' state.
  using WriteStatus = std::function<std::string(const diagnosis::Inquiry&)>;

  // `context` outlives this object.
  DiagnosisService(Context* context, WriteStatus write_status, Answer answer)
      : context_(context), write_status_(std::move(write_status)), answer_(std::move(answer)) {}

  void Ask(Ticket ticket, const diagnosis::Question& question);
  void OnReply(const base::Address& from, const diagnosis::Reply& reply);
  // Sends the queries that are due, and answers what is complete or late.
  void Tick(base::Millis now);

 private:
  struct PendingInquiry {
    Ticket ticket = 0;
    diagnosis::Inquiry inquiry;
  };
  std::vector<diagnosis::Target> TargetsOf(const diagnosis::Question& question) const;
  http::Message MakeAnswer(const diagnosis::Inquiry& inquiry) const;

  Context* context_;
  WriteStatus write_status_;
  Answer answer_;
  std::vector<PendingInquiry> pending_;
};

}  // namespace elderkeel::controller
