// Reads and validates the operators' settings file. docs/operations.md describes the settings.
#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <pugixml.hpp>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/settings/text_file.hpp"

namespace dunlinknot::settings {

namespace {

// One setting: its permitted values and the member that stores it.
struct Field {
  double min;
  double max;
  std::function<void(Operator&, double)> set;
  const char* unit;  // required value of the attribute `unit`; "" for a plain number
  bool integer;
};

Field seconds(double min, double max, Seconds Operator::*member) {
  return {min, max,
          [member](Operator& settings, double value) { settings.*member = Seconds(value); }, "s",
          false};
}
Field integer(double min, double max, uint32_t Operator::*member) {
  return {min, max,
          [member](Operator& settings, double value) {
            settings.*member = static_cast<uint32_t>(value);
          },
          "", true};
}
Field boolean(bool Operator::*member) {
  return {0, 1, [member](Operator& settings, double value) { settings.*member = value != 0; }, "",
          true};
}
Field ratio(double min, double max, double Operator::*member) {
  return {min, max, [member](Operator& settings, double value) { settings.*member = value; }, "",
          false};
}

using Fields = std::map<std::string, Field>;  // by the element's name

// All settings, by group; the names are those of the elements in the file.
const std::map<std::string, Fields>& groups() {
  static const std::map<std::string, Fields> all = {
      {"leadership", {{"ttl", seconds(1, 30, &Operator::leader_ttl)}}},
      {"api",
       {{"max-submissions", integer(1, 10'000, &Operator::max_submissions)},
        {"max-polls", integer(1, 10'000, &Operator::max_polls)},
        {"final-cache", integer(0, 1'000'000, &Operator::final_cache)}}},
      {"fleet",
       {{"idle-return", seconds(0, 86'400, &Operator::idle_return)},
        {"boot-patience", ratio(1, 100, &Operator::boot_timeout_factor)},
        {"lost-return", seconds(0, 86'400, &Operator::lost_return)},
        {"refusal-pause", seconds(1, 3600, &Operator::refusal_pause)},
        {"max-machines", integer(1, 100'000, &Operator::max_machines)},
        {"faults-to-drain", integer(1, 1000, &Operator::faults_to_drain)}}},
      {"duties",
       {{"on", boolean(&Operator::roles)},
        {"ttl", seconds(1, 60, &Operator::roles_ttl)},
        {"renew-every", seconds(0.1, 20, &Operator::roles_renew)}}},
      {"scheduler",
       {{"round-pause", seconds(0.01, 10, &Operator::cycle_pause)},
        {"backoff-first", seconds(0.1, 3600, &Operator::initial_backoff)},
        {"backoff-most", seconds(1, 86'400, &Operator::max_backoff)},
        {"failing-machines", integer(1, 1000, &Operator::failing_machines)}}},
  };
  return all;
}

// Reads all settings in the document. Throws Error with file and line if one is invalid.
class OperatorReader {
 public:
  explicit OperatorReader(std::string path) : path_(std::move(path)), content_(read_file(path_)) {}

  Operator read() {
    const pugi::xml_parse_result parsed = document_.load_buffer(content_.data(), content_.size());
    if (!parsed) fail_at(parsed.offset, parsed.description());
    const pugi::xml_node root = document_.document_element();
    if (std::string_view(root.name()) != "dunlinknot")
      fail(root, "the root element must be <dunlinknot>");
    Operator settings;
    for (const pugi::xml_node group : root.children()) {
      if (group.type() == pugi::node_element) read_group(group, settings);
    }
    check_roles(root, settings);
    return settings;
  }

 private:
  [[noreturn]] void fail_at(ptrdiff_t offset, const std::string& error) const {
    const auto end = content_.begin() + std::clamp<ptrdiff_t>(offset, 0, std::ssize(content_));
    const auto line = 1 + std::count(content_.begin(), end, '\n');
    throw Error(path_ + ":" + std::to_string(line) + ": " + error);
  }
  [[noreturn]] void fail(const pugi::xml_node& node, const std::string& error) const {
    fail_at(node.offset_debug(), error);
  }

  void read_group(const pugi::xml_node& group, Operator& settings) const {
    const auto known = groups().find(group.name());
    if (known == groups().end()) fail(group, "unknown group <" + std::string(group.name()) + ">");
    for (const pugi::xml_node item : group.children()) {
      if (item.type() != pugi::node_element) continue;
      const std::string name = std::string(group.name()) + "/" + item.name();
      const auto field = known->second.find(item.name());
      if (field == known->second.end()) fail(item, "unknown setting " + name);
      field->second.set(settings, read_value(item, name, field->second));
    }
  }

  double read_value(const pugi::xml_node& item, const std::string& name, const Field& field) const {
    const std::string unit = item.attribute("unit").as_string(field.unit);
    if (unit != field.unit) fail(item, name + ": the unit must be \"" + field.unit + "\"");
    std::istringstream input(item.text().as_string());
    double value = 0;
    std::string rest;
    if (!(input >> value) || (input >> rest)) fail(item, name + ": must be a number");
    if (field.integer && value != std::floor(value)) fail(item, name + ": must be a whole number");
    if (!std::isfinite(value) || value < field.min || value > field.max) {
      std::ostringstream range;
      range << name << ": must be between " << field.min << " and " << field.max;
      fail(item, range.str());
    }
    return value;
  }

  // The lease of a role must outlast two lost renewals. Otherwise one or two lost renewals would
  // move the role to another node although the cluster is healthy.
  void check_roles(const pugi::xml_node& root, const Operator& settings) const {
    constexpr double kMinRenewals = 3;
    if (!settings.roles || settings.roles_ttl >= settings.roles_renew * kMinRenewals) return;
    std::ostringstream error;
    error << "duties/ttl: must be at least " << kMinRenewals << " times duties/renew-every ("
          << settings.roles_renew.count() << " s)";
    fail(root.child("duties"), error.str());
  }

  std::string path_;
  std::string content_;
  pugi::xml_document document_;
};

}  // namespace

Operator load_operator(const std::string& path) {
  return OperatorReader(path).read();
}

}  // namespace dunlinknot::settings
