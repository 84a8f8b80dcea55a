#include "control_handler.h"

#include <utility>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {

void ControlHandler::AddDurationSetting(const std::string& name, Duration& setting) {
  AddSetter(name, [&setting](const nlohmann::json& value) {
    setting = std::chrono::milliseconds(value.get<std::int64_t>());
  });
}

void ControlHandler::AddSetter(const std::string& name,
                               std::function<void(const nlohmann::json&)> setter) {
  setters_[name] = std::move(setter);
}

bool ControlHandler::Handle(const ExchangePtr& exchange) const {
  if (exchange->Method() != "POST" || exchange->Path() != "/control") {
    return false;
  }
  Apply(exchange->JsonBody());
  exchange->Respond(SOUP_STATUS_OK, {{"ok", true}});
  return true;
}

void ControlHandler::Apply(const nlohmann::json& new_values) const {
  for (const auto& [name, value] : new_values.items()) {
    if (!setters_.contains(name)) {
      throw SettingsError("unknown control setting " + name);
    }
  }
  for (const auto& [name, value] : new_values.items()) {
    setters_.at(name)(value);
  }
}

}  // namespace cactusshelf
