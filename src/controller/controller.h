#pragma once

#include <memory>

#include "base/journal.h"
#include "base/loop.h"
#include "base/settings.h"
#include "configuration/operator_api.h"
#include "consensus/replica.h"
#include "controller/control_state.h"
#include "diagnosis/diagnosis.h"
#include "directory/directory.h"
#include "discovery/platform_client.h"
#include "dissemination/confirm.h"
#include "dissemination/peers.h"
#include "lifecycle/settings_watcher.h"
#include "rollout/canary_policy.h"
#include "rollout/coordinator.h"
#include "rollout/observer.h"
#include "singleton/assigner.h"
#include "wire/http_server.h"

namespace elderkeel::controller {

struct JsonText;

// The control plane's process: a member of the log, the operator's interface, and, when the log
// says so, the one that watches the platform's list.
class Controller : public configuration::ReplicatedLog {
 public:
  Controller(base::Loop* loop, base::Settings settings, std::string settings_path);

  base::Status Start();
  void Terminate();

 private:
  // What happened in this process, in order; `status` shows the last of it.
  struct Event {
    base::Millis at;
    std::string what;
    std::string detail;
  };

  void End(base::Millis since);

  // configuration::ReplicatedLog
  bool HasCommittedInTerm() const override {
    return replica_->running() && replica_->raft().HasCommittedInTerm();
  }
  bool is_leader() const override { return replica_->running() && replica_->raft().is_leader(); }
  uint64_t term() const override { return replica_->raft().term(); }
  std::optional<std::string> leader_control() const override;
  bool ConfirmRead(uint64_t token) override { return replica_->ConfirmRead(token); }
  std::optional<uint64_t> Propose(const configuration::Change& change) override {
    return replica_->Propose(MakeCommand(Command::Kind::kConfiguration, change));
  }

  std::optional<uint64_t> Propose(const zone_drain::DrainOrder& order) override {
    return replica_->Propose(MakeCommand(Command::Kind::kZoneDrain, order));
  }
  std::optional<uint64_t> Propose(const rollout::RolloutOrder& order) override;
  bool HasZone(const std::string& zone) const override;
  bool HasService(const std::string& service) const override;

  consensus::Replica::Options ReplicaOptions(std::vector<base::Address> founders) const;
  // The log begins once it is known which of the seeds have a disk; true if it has begun.
  bool Begin();
  // Without a disk, where others have one: it has no part in the log and sends callers on.
  bool Idle() const;
  void SendOn(wire::HttpServer::Ticket ticket, const std::string& target);
  void OnRequest(wire::HttpServer::Ticket ticket, wire::Message&& request);
  void OnMessage(const base::Address& from, wire::Kind kind, std::string_view payload);
  void OnConfirm(const base::Address& from, const dissemination::Confirm& confirm);
  void ReadDone(uint64_t token, bool confirmed);
  void Applied(const consensus::Entry& entry);
  void RoleChanged();
  void Tick();
  void SeekMembership(base::Millis now);
  void ReviewCatalogReader(base::Millis now);
  // The state of the roll-outs changed, by the log or a snapshot.
  void AdoptRollouts(base::Millis now);
  void ReviewRollouts(base::Millis now);
  void SendVotes(base::Millis now);
  std::vector<rollout::Candidate> ObserverCandidates() const;
  void OnProxyReport(const base::Address& from, const rollout::ProxyReport& report);
  bool HearsLeader(base::Millis now) const;
  void WatchPlatform(base::Millis now);
  void Vouch(base::Millis now);
  void Resign(base::Millis now, const char* why);
  std::vector<singleton::Candidate> Candidates(base::Millis now) const;
  bool IsCatalogReader() const;  // by the log; this life may still have to claim it
  void SendToLeader(base::Millis now, const singleton::Resignation& resignation);
  void Diagnose(wire::HttpServer::Ticket ticket, const base::Result<diagnosis::Question>& question);
  void FinishInquiries(base::Millis now);
  void Ask(wire::HttpServer::Ticket ticket, const diagnosis::Question& question);
  void WriteLog(JsonText* json) const;
  std::string StatusJson(const diagnosis::Inquiry& nodes) const;
  // What is known of the roll-outs, or of one service's; empty if that has none.
  std::string RolloutsJson(std::string_view service) const;
  void AnswerRollouts(wire::HttpServer::Ticket ticket, const wire::Message& request);
  void Note(std::string what, std::string detail);

  base::Loop* loop_;
  base::Settings settings_;
  std::string settings_path_;
  ControlState state_;
  base::Journal<Event> journal_{64};
  std::unique_ptr<dissemination::Peers> peers_;
  std::unique_ptr<consensus::Replica> replica_;
  std::unique_ptr<configuration::OperatorApi> operator_;
  std::unique_ptr<wire::HttpServer> control_;
  std::unique_ptr<directory::Directory> directory_;
  std::unique_ptr<wire::HttpServer> directory_server_;
  std::unique_ptr<discovery::PlatformClient> platform_;
  std::unique_ptr<lifecycle::SettingsWatcher> watch_;
  singleton::Assigner assignment_;
  rollout::RolloutCoordinator coordinator_{rollout::RolloutCoordinator::Options()};
  std::unique_ptr<rollout::Observer> observer_;
  std::map<std::string, std::string> logged_stages_;  // on the log, by service
  base::Timer tick_;
  base::Timer begin_;
  base::Timer leave_;

  struct Asked {
    base::Address from;
    uint64_t nonce;
  };
  std::map<uint64_t, Asked> confirms_;  // by read token
  // The read by which a leader knows that it has all that was committed; 0 for none under way.
  uint64_t vouch_token_ = 0;
  base::Millis vouch_asked_at_ = 0;
  uint64_t next_token_ = 1;
  struct Asking {
    wire::HttpServer::Ticket ticket;
    diagnosis::Inquiry inquiry;
  };
  std::vector<Asking> inquiries_;
  base::Millis join_at_ = 0;
  base::Millis poll_at_ = 0;
  base::Millis read_ok_at_ = 0;  // when this holder last read the list
  base::Millis resigned_at_ = 0;
  base::Millis claimed_at_ = 0;
  base::Millis versions_at_ = 0;  // when the versions in force were last proposed
  const uint64_t boot_id_;
  uint64_t watched_epoch_ = 0;
  uint64_t sequence_ = 0;
  std::vector<discovery::Server> servers_;
  bool leaving_ = false;
};

}  // namespace elderkeel::controller
