#pragma once

#include <cereal/types/string.hpp>
#include <string>

#include "configuration/configuration_state.h"
#include "rollout/rollouts.h"
#include "singleton/assigner.h"
#include "wire/frame.h"
#include "zone_drain/drained_zones.h"

namespace elderkeel::controller {

// What an entry of the log changes.
struct Command {
  enum class Kind : uint8_t { kConfiguration, kCatalogReader, kZoneDrain, kRollout };
  Kind kind = Kind::kConfiguration;
  std::string payload;
  template <class A>
  void serialize(A& a) {
    a(kind, payload);
  }
};

// All that the controllers agree on, folded from the log.
struct ControlState {
  configuration::ConfigurationState configuration;
  singleton::Assignment catalog_reader;
  zone_drain::DrainedZones drained_zones;
  rollout::Rollouts rollouts;

  enum class Effect { kNone, kConfiguration, kCatalogReader, kZoneDrain, kRollout };
  Effect Apply(const std::string& data) {
    auto command = wire::Decode<Command>(data);
    if (!command) return Effect::kNone;
    if (command->kind == Command::Kind::kConfiguration) {
      auto change = wire::Decode<configuration::Change>(command->payload);
      return change && configuration.Apply(*change) ? Effect::kConfiguration : Effect::kNone;
    }
    if (command->kind == Command::Kind::kZoneDrain) {
      auto order = wire::Decode<zone_drain::DrainOrder>(command->payload);
      return order && drained_zones.Apply(*order) ? Effect::kZoneDrain : Effect::kNone;
    }
    if (command->kind == Command::Kind::kRollout) {
      auto step = wire::Decode<rollout::Step>(command->payload);
      return step && rollouts.Apply(*step) ? Effect::kRollout : Effect::kNone;
    }
    auto named = wire::Decode<singleton::Assignment>(command->payload);
    if (!named || named->epoch <= catalog_reader.epoch) return Effect::kNone;
    catalog_reader = *named;
    return Effect::kCatalogReader;
  }

  template <class A>
  void serialize(A& a) {
    a(configuration, catalog_reader, drained_zones, rollouts);
  }

  // From a snapshot; those of before there were roll-outs, or evacuations, end earlier.
  static std::optional<ControlState> Read(const std::string& bytes) {
    if (auto state = wire::Decode<ControlState>(bytes)) return state;
    struct BeforeRollouts {
      ControlState state;
      void serialize(cereal::BinaryInputArchive& a) {
        a(state.configuration, state.catalog_reader, state.drained_zones);
      }
    };
    if (auto before = wire::Decode<BeforeRollouts>(bytes)) return std::move(before->state);
    struct BeforeEvacuations {
      ControlState state;
      void serialize(cereal::BinaryInputArchive& a) {
        a(state.configuration, state.catalog_reader);
      }
    };
    auto before = wire::Decode<BeforeEvacuations>(bytes);
    if (!before) return std::nullopt;
    return std::move(before->state);
  }
};

template <class Payload>
std::string MakeCommand(Command::Kind kind, const Payload& payload) {
  return wire::Encode(Command{kind, wire::Encode(payload)});
}

}  // namespace elderkeel::controller
