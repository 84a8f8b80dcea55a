#ifndef CACTUSSHELF_STANDINS_CONTROL_HANDLER_H_
#define CACTUSSHELF_STANDINS_CONTROL_HANDLER_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "cactusshelf/base/time.h"
#include "exchange.h"

namespace cactusshelf {

// Handles POST /control, which changes the settings of a running stand-in. The body of the request
// is a JSON object of names and values; settings that it does not name keep their values.
class ControlHandler {
 public:
  // Registers a setting that is assigned directly. `setting` must outlive the handler.
  template <typename T>
  void AddSetting(const std::string& name, T& setting) {
    AddSetter(name, [&setting](const nlohmann::json& value) { setting = value.get<T>(); });
  }
  // Registers a duration, which is given in milliseconds. `setting` must outlive the handler.
  void AddDurationSetting(const std::string& name, Duration& setting);
  // Registers a function that is called with the value of the setting.
  void AddSetter(const std::string& name, std::function<void(const nlohmann::json&)> setter);

  // Responds to POST /control; returns false for any other request. Throws a subclass of
  // std::exception for an unknown name, before any setting is changed, and for a value of the wrong
  // type, when other settings may already have changed.
  bool Handle(const ExchangePtr& exchange) const;

  void Apply(const nlohmann::json& new_values) const;

 private:
  std::map<std::string, std::function<void(const nlohmann::json&)>> setters_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_CONTROL_HANDLER_H_
