#include "controller/control_state.h"

#include <utility>

namespace elderkeel::controller {
namespace {

// Decodes a command's payload and applies it to `state`; returns whether that changed it.
template <class Payload, class State>
bool ApplyPayload(const std::string& payload, State* state) {
  auto decoded = transport::Decode<Payload>(payload);
  return decoded && state->Apply(*decoded);
}

// Snapshots that earlier versions wrote end before the fields that were added later.
struct BeforeRollouts {
  ControlState state;
  void serialize(cereal::BinaryInputArchive& archive) {
    archive(state.configuration, state.catalog_reader, state.drained_zones);
  }
};
struct BeforeZoneDrains {
  ControlState state;
  void serialize(cereal::BinaryInputArchive& archive) {
    archive(state.configuration, state.catalog_reader);
  }
};

}  // namespace

ControlState::Effect ControlState::Apply(const std::string& data) {
  auto command = transport::Decode<Command>(data);
  if (!command) return Effect::kNone;
  const std::string& payload = command->payload;
  switch (command->kind) {
    case Command::Kind::kConfiguration:
      return ApplyPayload<configuration::Change>(payload, &configuration) ? Effect::kConfiguration
                                                                          : Effect::kNone;
    case Command::Kind::kZoneDrain:
      return ApplyPayload<zone_drain::DrainOrder>(payload, &drained_zones) ? Effect::kZoneDrain
                                                                           : Effect::kNone;
    case Command::Kind::kRollout:
      return ApplyPayload<rollout::Step>(payload, &rollouts) ? Effect::kRollout : Effect::kNone;
    case Command::Kind::kCatalogReader:
      break;
  }
  auto assignment = transport::Decode<singleton::Assignment>(payload);
  if (!assignment || assignment->epoch <= catalog_reader.epoch) return Effect::kNone;
  catalog_reader = *assignment;
  return Effect::kCatalogReader;
}

std::optional<ControlState> ControlState::Decode(const std::string& bytes) {
  if (auto state = transport::Decode<ControlState>(bytes)) return state;
  if (auto earlier = transport::Decode<BeforeRollouts>(bytes)) return std::move(earlier->state);
  if (auto earlier = transport::Decode<BeforeZoneDrains>(bytes)) return std::move(earlier->state);
  return std::nullopt;
}

}  // namespace elderkeel::controller
