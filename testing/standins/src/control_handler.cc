#include "control_handler.h"

#include <utility>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {

void Control::AddMilliseconds(const std::string& name, Duration& setting) {
  AddAction(name, [&setting](const nlohmann::json& value) {
    setting = std::chrono::milliseconds(value.get<std::int64_t>());
  });
}

void Control::AddAction(const std::string& name,
                        std::function<void(const nlohmann::json&)> action) {
  actions_[name] = std::move(action);
}

bool Control::Handle(const ExchangePtr& exchange) const {
  if (exchange->Method() != "POST" || exchange->Path() != "/control") {
    return false;
  }
  Apply(exchange->JsonBody());
  exchange->Answer(SOUP_STATUS_OK, {{"ok", true}});
  return true;
}

void Control::Apply(const nlohmann::json& changes) const {
  for (const auto& [name, value] : changes.items()) {
    if (!actions_.contains(name)) {
      throw SettingsError("unknown control setting " + name);
    }
  }
  for (const auto& [name, value] : changes.items()) {
    actions_.at(name)(value);
  }
}

}  // namespace cactusshelf
