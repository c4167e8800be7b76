#pragma once

#include <memory>

#include "base/loop.h"
#include "base/settings.h"
#include "diagnosis/diagnosis.h"
#include "discovery/platform_client.h"
#include "dissemination/confirm.h"
#include "dissemination/peers.h"
#include "forwarding/request_router.h"
#include "lifecycle/lifecycle.h"
#include "lifecycle/settings_watcher.h"
#include "telemetry/recorder.h"
#include "wire/http_server.h"

namespace elderkeel::proxy {

// The data plane's process: takes updates, forwards requests, and says when it is ready.
class Proxy {
 public:
  Proxy(base::Loop* loop, base::Settings settings, std::string settings_path);
  ~Proxy();

  base::Status Start();
  void Terminate();

 private:
  void OnMessage(const base::Address& from, wire::Kind kind, std::string_view payload);
  void Answer(const base::Address& from, const diagnosis::Query& query);
  void ApplyConfiguration();
  void ApplyEndpoints();
  void Tick();
  void UpdateRank();
  void ProbeStartup();
  void AskConfirmation(base::Millis now);
  // Takes note if what is held is confirmed as current, and serves by it.
  void NoteConfirmed(base::Millis now);
  void ReadForItself(base::Millis now);
  // Tells the watchers of roll-outs under way what this proxy counts.
  void ReportMetrics(base::Millis now);
  std::unique_ptr<telemetry::Sink> MakeSink();

  base::Loop* loop_;
  base::Settings settings_;
  std::string settings_path_;
  std::unique_ptr<telemetry::Recorder> recorder_;
  std::unique_ptr<dissemination::Peers> peers_;
  std::unique_ptr<forwarding::RequestRouter> router_;
  std::unique_ptr<wire::HttpServer> ready_server_;
  std::unique_ptr<discovery::PlatformClient> platform_;
  std::unique_ptr<lifecycle::SettingsWatcher> watch_;
  lifecycle::Lifecycle lifecycle_;
  bool peers_changed_ = true;
  base::Timer tick_;
  base::Timer startup_probe_;

  dissemination::Confirmation confirmation_;
  base::Millis started_at_ = 0;
  base::Millis ask_at_ = 0;
  base::Millis confirm_at_ = 0;
  size_t next_controller_ = 0;
  base::Millis read_at_ = 0;
  base::Millis report_at_ = 0;
  base::Millis renew_lease_at_ = 0;
};

}  // namespace elderkeel::proxy
