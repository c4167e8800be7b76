#pragma once

#include <functional>
#include <string>
#include <vector>

#include "controller/context.h"
#include "diagnosis/diagnosis.h"
#include "http/http_server.h"

namespace elderkeel::controller {

// Sends a caller's question to all known proxies and answers with their replies. It needs no
// majority: the answer names the proxies that did not reply.
class DiagnosisService {
 public:
  using Ticket = http::HttpServer::Ticket;
  using Answer = std::function<void(Ticket, const http::Message&)>;
  // Returns the JSON that answers a question about the nodes' state.
  using WriteStatus = std::function<std::string(const diagnosis::FleetQuery&)>;

  // `context` outlives this object.
  DiagnosisService(Context* context, WriteStatus write_status, Answer answer)
      : context_(context), write_status_(std::move(write_status)), answer_(std::move(answer)) {}

  // Starts a query; its answer follows once all proxies have replied or its time is over.
  // Answers 503 if the replica has not started or too many inquiries are in progress.
  void Ask(Ticket ticket, const diagnosis::Question& question);
  void OnReply(const base::Address& from, const diagnosis::Reply& reply);
  // Sends the queries that are due and answers the inquiries that are complete or timed out.
  void Tick(base::Millis now);

 private:
  struct PendingFleetQuery {
    Ticket ticket = 0;
    diagnosis::FleetQuery query;
  };
  std::vector<diagnosis::Target> TargetsOf(const diagnosis::Question& question) const;
  http::Message MakeAnswer(const diagnosis::FleetQuery& query) const;

  Context* context_;
  WriteStatus write_status_;
  Answer answer_;
  std::vector<PendingFleetQuery> pending_;
};

}  // namespace elderkeel::controller
