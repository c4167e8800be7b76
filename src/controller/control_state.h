#pragma once

#include <cereal/types/string.hpp>
#include <string>

#include "configuration/register.h"
#include "duty/duty.h"
#include "wire/frame.h"

namespace elderkeel::controller {

// What an entry of the log changes.
struct Command {
  enum class Kind : uint8_t { kConfiguration, kDuty };
  Kind kind = Kind::kConfiguration;
  std::string payload;
  template <class A>
  void serialize(A& a) {
    a(kind, payload);
  }
};

// All that the controllers agree on, folded from the log.
struct ControlState {
  configuration::Register configuration;
  duty::Duty duty;

  enum class Effect { kNone, kConfiguration, kDuty };
  Effect Apply(const std::string& data) {
    auto command = wire::Decode<Command>(data);
    if (!command) return Effect::kNone;
    if (command->kind == Command::Kind::kConfiguration) {
      auto change = wire::Decode<configuration::Change>(command->payload);
      return change && configuration.Apply(*change) ? Effect::kConfiguration : Effect::kNone;
    }
    auto named = wire::Decode<duty::Duty>(command->payload);
    if (!named || named->epoch <= duty.epoch) return Effect::kNone;
    duty = *named;
    return Effect::kDuty;
  }

  template <class A>
  void serialize(A& a) {
    a(configuration, duty);
  }
};

template <class Payload>
std::string MakeCommand(Command::Kind kind, const Payload& payload) {
  return wire::Encode(Command{kind, wire::Encode(payload)});
}

}  // namespace elderkeel::controller
