#pragma once

#include <cereal/types/string.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "configuration/configuration_state.h"
#include "rollout/rollouts.h"
#include "singleton/assigner.h"
#include "transport/frame.h"
#include "zone_drain/drained_zones.h"

namespace elderkeel::controller {

// What an entry of the log changes. Stored and sent as cereal writes it; the numbers are a format.
struct Command {
  enum class Kind : uint8_t { kConfiguration, kCatalogReader, kZoneDrain, kRollout };
  Kind kind = Kind::kConfiguration;
  std::string payload;  // a Change, an Assignment, a DrainOrder or a Step, as `kind` says
  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, payload);
  }
};

template <class Payload>
std::string MakeCommand(Command::Kind kind, const Payload& payload) {
  return transport::Encode(Command{kind, transport::Encode(payload)});
}

// All that the controllers agree on, as a state machine above the log: the same entries give the
// same state on every controller.
struct ControlState {
  configuration::ConfigurationState configuration;
  singleton::Assignment catalog_reader;
  zone_drain::DrainedZones drained_zones;
  rollout::Rollouts rollouts;

  // What the command in `data` changed; kNone if nothing, or if it can't be decoded.
  enum class Effect : uint8_t { kNone, kConfiguration, kCatalogReader, kZoneDrain, kRollout };
  Effect Apply(const std::string& data);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(configuration, catalog_reader, drained_zones, rollouts);
  }
  // From a snapshot, also of versions before there were roll-outs or drained zones.
  static std::optional<ControlState> Decode(const std::string& bytes);
};

}  // namespace elderkeel::controller
