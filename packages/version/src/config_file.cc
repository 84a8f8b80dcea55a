#include "cactusshelf/version/config_file.h"

#include <fmt/format.h>

#include <map>
#include <string_view>
#include <utility>

#include "cactusshelf/version/retirement.h"
#include "entry_reader.h"

namespace cactusshelf {
namespace {

constexpr std::int64_t kMaxPriority = 100;
constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxTasks = 100'000;

}  // namespace

// Parses the text of a ConfigFile and sets its other members.
class ConfigFileParser {
 public:
  explicit ConfigFileParser(ConfigFile& file) : file_(file) {}

  void Parse() {
    if (file_.name_.empty() || file_.name_.size() > ConfigFile::kMaxNameBytes) {
      AddFinding("the file name must have 1 to 255 bytes");
      return;
    }
    if (file_.text_.size() > ConfigFile::kMaxFileBytes) {
      AddFinding("the file is larger than 8 MiB");
      return;
    }
    try {
      const toml::table root = toml::parse(file_.text_, file_.name_);
      file_.parsed_ = true;
      ParseRoot(root);
    } catch (const toml::parse_error& error) {
      file_.findings_.Add(PlaceOf(file_.name_, error.source()), std::string(error.description()));
    }
  }

 private:
  using EntryParser = void (ConfigFileParser::*)(EntryReader&);

  void AddFinding(std::string message) {
    file_.findings_.Add({file_.name_, 1, 1}, std::move(message));
  }

  void ParseRoot(const toml::table& root) {
    static const std::map<std::string_view, EntryParser> parsers = {
        {"customer", &ConfigFileParser::ParseCustomer},
        {"account", &ConfigFileParser::ParseAccount},
        {"team", &ConfigFileParser::ParseTeam},
        {"service", &ConfigFileParser::ParseService},
        {"worker", &ConfigFileParser::ParseWorker},
        {"job", &ConfigFileParser::ParseJob},
        {"retirement", &ConfigFileParser::ParseRetirement},
    };
    for (const auto& [key, node] : root) {
      const auto it = parsers.find(key.str());
      if (it == parsers.end()) {
        file_.findings_.Add(PlaceOf(file_.name_, key.source()),
                            fmt::format("unknown key '{}'", key.str()));
        continue;
      }
      ParseEntries(it->first, node, it->second);
    }
  }

  void ParseEntries(std::string_view kind, const toml::node& node, EntryParser parse) {
    const toml::array* array = node.as_array();
    if (array == nullptr) {
      file_.findings_.Add(PlaceOf(file_.name_, node.source()),
                          fmt::format("'{0}' must be written as [[{0}]]", kind));
      return;
    }
    for (const toml::node& it : *array) {
      const toml::table* table = it.as_table();
      if (table == nullptr) {
        file_.findings_.Add(PlaceOf(file_.name_, it.source()),
                            fmt::format("{} must be a table", kind));
        continue;
      }
      EntryReader reader(*table, std::string(kind), file_.name_, file_.findings_);
      (this->*parse)(reader);
    }
  }

  // Adds `entry` if it has no fault. Adds its definition whenever its name is known, so that
  // references to an entry with faults are not reported as dangling.
  template <typename T>
  void AddEntry(EntryReader& reader, EntryKind kind, const std::string& name, std::string_view key,
                std::vector<T>& entries, T entry) {
    reader.Finish();
    if (name.empty()) {
      return;
    }
    ConfigFile::Definition definition{{kind, name}, reader.PlaceOfKey(key)};
    if (reader.valid()) {
      definition.index = entries.size();
      entries.push_back(std::move(entry));
    }
    file_.definitions_.push_back(std::move(definition));
  }

  void AddReference(const EntryReader& reader, EntryKey from, EntryKind kind, std::string_view key,
                    const std::string& name) {
    if (!name.empty()) {
      file_.references_.push_back({std::move(from), {kind, name}, reader.PlaceOfKey(key)});
    }
  }

  CustomerId ReadCustomer(EntryReader& reader, EntryKind kind, const std::string& name) {
    CustomerId customer(reader.Name("customer"));
    AddReference(reader, {kind, name}, EntryKind::kCustomer, "customer", customer.str());
    return customer;
  }

  void ParseCustomer(EntryReader& reader) {
    Customer entry;
    entry.name = CustomerId(reader.Name("name"));
    entry.priority = static_cast<std::int32_t>(reader.Integer("priority", 0, kMaxPriority));
    AddEntry(reader, EntryKind::kCustomer, entry.name.str(), "name", file_.customers_, entry);
  }

  void ParseAccount(EntryReader& reader) {
    Account entry;
    entry.name = AccountId(reader.Name("name"));
    entry.customer = ReadCustomer(reader, EntryKind::kAccount, entry.name.str());
    entry.request_rate = reader.Rate("request_rate");
    AddEntry(reader, EntryKind::kAccount, entry.name.str(), "name", file_.accounts_, entry);
  }

  void ParseTeam(EntryReader& reader) {
    Team entry;
    entry.name = TeamId(reader.Name("name"));
    entry.customer = ReadCustomer(reader, EntryKind::kTeam, entry.name.str());
    entry.quota = reader.ReadResourcesTable("quota");
    AddEntry(reader, EntryKind::kTeam, entry.name.str(), "name", file_.teams_, entry);
  }

  void ParseService(EntryReader& reader) {
    Service entry;
    entry.name = ServiceId(reader.Name("name"));
    entry.customer = ReadCustomer(reader, EntryKind::kService, entry.name.str());
    entry.slots = static_cast<std::int32_t>(reader.Integer("slots", 1, kMaxSlots));
    entry.connections = static_cast<std::int32_t>(reader.Integer("connections", 1, kMaxSlots));
    if (reader.valid() && entry.connections < entry.slots) {
      reader.AddFinding("connections", "'connections' is lower than 'slots'");
    }
    entry.default_deadline = reader.Time("default_deadline");
    if (entry.default_deadline > kMaxRequestTimeout) {
      reader.AddFinding("default_deadline", "'default_deadline' is longer than 30s");
    }
    if (reader.Has("endpoint_need")) {
      entry.endpoint_need = reader.ReadResourcesTable("endpoint_need");
    }
    if (const toml::array* endpoints = reader.Array("endpoints")) {
      ParseEndpoints(reader, *endpoints, entry);
    }
    AddEntry(reader, EntryKind::kService, entry.name.str(), "name", file_.services_, entry);
  }

  void ParseEndpoints(EntryReader& service, const toml::array& endpoints, Service& entry) {
    for (const toml::node& it : endpoints) {
      const toml::table* table = it.as_table();
      if (table == nullptr) {
        service.AddFinding("endpoints", "an endpoint must be a table");
        continue;
      }
      EntryReader reader(*table, "endpoint", file_.name_, file_.findings_);
      Endpoint endpoint;
      endpoint.address = reader.Address("address");
      endpoint.id = EndpointId(entry.name.str() + '/' + endpoint.address);
      endpoint.domain = DomainId(reader.Name("domain"));
      endpoint.rack = RackId(reader.Name("rack"));
      reader.Finish();
      if (!reader.valid()) {
        service.Invalidate();
        continue;
      }
      AddAddress(endpoint.address, reader.PlaceOfKey("address"));
      entry.endpoints.push_back(std::move(endpoint));
    }
  }

  void ParseWorker(EntryReader& reader) {
    Worker entry;
    entry.name = WorkerId(reader.Name("name"));
    entry.address = reader.Address("address");
    entry.domain = DomainId(reader.Name("domain"));
    entry.rack = RackId(reader.Name("rack"));
    entry.cell = CellId(reader.Name("cell"));
    entry.capacity = reader.ReadResourcesTable("capacity");
    if (reader.valid()) {
      AddAddress(entry.address, reader.PlaceOfKey("address"));
    }
    AddEntry(reader, EntryKind::kWorker, entry.name.str(), "name", file_.workers_, entry);
  }

  void ParseJob(EntryReader& reader) {
    Job entry;
    entry.name = JobId(reader.Name("name"));
    entry.team = TeamId(reader.Name("team"));
    AddReference(reader, {EntryKind::kJob, entry.name.str()}, EntryKind::kTeam, "team",
                 entry.team.str());
    entry.job_class = JobClass(reader.Name("class"));
    entry.tasks = static_cast<std::int32_t>(reader.Integer("tasks", 1, kMaxTasks));
    entry.need = reader.ReadResources();
    entry.expected_run_time = reader.Time("expected_run_time");
    entry.urgent = reader.OptionalBoolean("urgent");
    entry.cancelled = reader.OptionalBoolean("cancelled");
    AddEntry(reader, EntryKind::kJob, entry.name.str(), "name", file_.jobs_, entry);
  }

  // Adds no reference to the customer, because its entries may be removed after the retirement.
  void ParseRetirement(EntryReader& reader) {
    Retirement entry;
    entry.customer = CustomerId(reader.Name("customer"));
    AddEntry(reader, EntryKind::kRetirement, entry.customer.str(), "customer", file_.retirements_,
             entry);
  }

  // Indexed to detect duplicates: two entries with the same address would each allocate the
  // capacity of the same host.
  void AddAddress(const std::string& address, Place place) {
    file_.definitions_.push_back({{EntryKind::kAddress, address}, std::move(place)});
  }

  ConfigFile& file_;
};

std::shared_ptr<const ConfigFile> ConfigFile::Parse(std::string name, std::string text) {
  const std::shared_ptr<ConfigFile> file(new ConfigFile());
  file->name_ = std::move(name);
  file->text_ = std::move(text);
  ConfigFileParser(*file).Parse();
  return file;
}

}  // namespace cactusshelf
