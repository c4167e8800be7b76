#pragma once

#include <string>
#include <utility>
#include <variant>

namespace elderkeel::base {

// What went wrong, at which step, and with whom. Errors are values; none crosses the event loop as
// an exception.
struct Error {
  std::string step;
  std::string peer;
  std::string reason;

  std::string ToString() const {
    return "step=" + step + " peer=" + (peer.empty() ? "self" : peer) + " reason=\"" + reason +
           "\"";
  }
};

template <class T>
class Result {
 public:
  Result(T value) : state_(std::move(value)) {}
  Result(Error error) : state_(std::move(error)) {}

  bool ok() const { return state_.index() == 0; }
  explicit operator bool() const { return ok(); }
  T& operator*() { return std::get<0>(state_); }
  const T& operator*() const { return std::get<0>(state_); }
  T* operator->() { return &std::get<0>(state_); }
  const T* operator->() const { return &std::get<0>(state_); }
  const Error& error() const { return std::get<1>(state_); }

 private:
  std::variant<T, Error> state_;
};

}  // namespace elderkeel::base
