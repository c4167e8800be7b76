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

// A command in an entry of the log. Stored and sent in cereal's binary form, so the numbers of the
// enumerators are a format.
struct Command {
  enum class Kind : uint8_t { kConfiguration, kCatalogReader, kZoneDrain, kRollout };
  Kind kind = Kind::kConfiguration;
  std::string payload;  // an encoded Change, Assignment, DrainOrder or Step, in the order of Kind
  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, payload);
  }
};

// Returns the encoded command for an entry of the log.
template <class Payload>
std::string MakeCommand(Command::Kind kind, const Payload& payload) {
  return transport::Encode(Command{kind, transport::Encode(payload)});
}

// All replicated state of the controllers, as a deterministic state machine above the log: the same
// entries lead to the same state on every controller.
struct ControlState {
  configuration::ConfigurationState configuration;
  singleton::Assignment catalog_reader;
  zone_drain::DrainedZones drained_zones;
  rollout::Rollouts rollouts;

  // The part of the state that a command changed; kNone if it changed nothing or can't be decoded.
  enum class Effect : uint8_t { kNone, kConfiguration, kCatalogReader, kZoneDrain, kRollout };
  // Applies the encoded command in `data`.
  Effect Apply(const std::string& data);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(configuration, catalog_reader, drained_zones, rollouts);
  }
  // Decodes the state in a snapshot, also one of an earlier version, without roll-outs or drained
  // zones. None if it can't be decoded.
  static std::optional<ControlState> Decode(const std::string& bytes);
};

}  // namespace elderkeel::controller
