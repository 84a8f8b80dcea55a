#ifndef CACTUSSHELF_STANDINS_CONTROL_HANDLER_H_
#define CACTUSSHELF_STANDINS_CONTROL_HANDLER_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "cactusshelf/base/time.h"
#include "exchange.h"

namespace cactusshelf {

// Settings of a stand-in that POST /control changes. The body is a JSON object; fields that are
// not named in it keep their values.
class Control {
 public:
  // `setting` must outlive the control.
  template <typename T>
  void Add(const std::string& name, T& setting) {
    AddAction(name, [&setting](const nlohmann::json& value) { setting = value.get<T>(); });
  }
  // A duration, given in milliseconds.
  void AddMilliseconds(const std::string& name, Duration& setting);
  void AddAction(const std::string& name, std::function<void(const nlohmann::json&)> action);

  // Answers POST /control. Returns false for any other request. Throws std::exception for unknown
  // names, before any setting is changed, and for values of the wrong type.
  bool Handle(const ExchangePtr& exchange) const;

  void Apply(const nlohmann::json& changes) const;

 private:
  std::map<std::string, std::function<void(const nlohmann::json&)>> actions_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_CONTROL_HANDLER_H_
