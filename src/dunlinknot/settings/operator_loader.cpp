// Reads the operators' settings file. docs/operations.md describes the settings.
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

// One setting: what values it takes and where they go.
struct Field {
  double least;
  double most;
  std::function<void(Operator&, double)> set;
  const char* unit;  // what the attribute `unit` must say; "" for a plain number
  bool whole;
};

Field seconds(double least, double most, Seconds Operator::*at) {
  return {least, most, [at](Operator& settings, double value) { settings.*at = Seconds(value); },
          "s", false};
}
Field whole(double least, double most, uint32_t Operator::*at) {
  return {least, most,
          [at](Operator& settings, double value) { settings.*at = static_cast<uint32_t>(value); },
          "", true};
}
Field on_or_off(bool Operator::*at) {
  return {0, 1, [at](Operator& settings, double value) { settings.*at = value != 0; }, "", true};
}
Field ratio(double least, double most, double Operator::*at) {
  return {least, most, [at](Operator& settings, double value) { settings.*at = value; }, "", false};
}

using Fields = std::map<std::string, Field>;  // by the element's name

// All settings, by group; the names are those of the elements in the file.
const std::map<std::string, Fields>& groups() {
  static const std::map<std::string, Fields> all = {
      {"leadership", {{"ttl", seconds(1, 30, &Operator::leader_ttl)}}},
      {"api",
       {{"max-submissions", whole(1, 10'000, &Operator::max_submissions)},
        {"max-polls", whole(1, 10'000, &Operator::max_polls)},
        {"final-cache", whole(0, 1'000'000, &Operator::final_cache)}}},
      {"fleet",
       {{"idle-return", seconds(0, 86'400, &Operator::idle_return)},
        {"boot-patience", ratio(1, 100, &Operator::boot_patience)},
        {"lost-return", seconds(0, 86'400, &Operator::lost_return)},
        {"refusal-pause", seconds(1, 3600, &Operator::refusal_pause)},
        {"max-machines", whole(1, 100'000, &Operator::max_machines)},
        {"faults-to-drain", whole(1, 1000, &Operator::faults_to_drain)}}},
      {"duties",
       {{"on", on_or_off(&Operator::roles)},
        {"ttl", seconds(1, 60, &Operator::roles_ttl)},
        {"renew-every", seconds(0.1, 20, &Operator::roles_renew)}}},
      {"scheduler",
       {{"round-pause", seconds(0.01, 10, &Operator::cycle_pause)},
        {"backoff-first", seconds(0.1, 3600, &Operator::backoff_first)},
        {"backoff-most", seconds(1, 86'400, &Operator::backoff_most)},
        {"failing-machines", whole(1, 1000, &Operator::failing_machines)}}},
  };
  return all;
}

// Walks the document and sets what it finds. Throws Error with the file and the line.
class OperatorReader {
 public:
  explicit OperatorReader(std::string path) : path_(std::move(path)), content_(read_file(path_)) {}

  Operator read() {
    const pugi::xml_parse_result parsed = document_.load_buffer(content_.data(), content_.size());
    if (!parsed) fail_at(parsed.offset, parsed.description());
    const pugi::xml_node root = document_.document_element();
    if (std::string_view(root.name()) != "dunlinknot")
      fail(root, "the outermost element must be <dunlinknot>");
    Operator settings;
    for (const pugi::xml_node group : root.children()) {
      if (group.type() == pugi::node_element) read_group(group, settings);
    }
    check_roles(root, settings);
    return settings;
  }

 private:
  [[noreturn]] void fail_at(ptrdiff_t offset, const std::string& fault) const {
    const auto end = content_.begin() + std::clamp<ptrdiff_t>(offset, 0, std::ssize(content_));
    const auto line = 1 + std::count(content_.begin(), end, '\n');
    throw Error(path_ + ":" + std::to_string(line) + ": " + fault);
  }
  [[noreturn]] void fail(const pugi::xml_node& at, const std::string& fault) const {
    fail_at(at.offset_debug(), fault);
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
    std::istringstream text(item.text().as_string());
    double value = 0;
    std::string rest;
    if (!(text >> value) || (text >> rest)) fail(item, name + ": must be a number");
    if (field.whole && value != std::floor(value)) fail(item, name + ": must be a whole number");
    if (!std::isfinite(value) || value < field.least || value > field.most) {
      std::ostringstream range;
      range << name << ": must be between " << field.least << " and " << field.most;
      fail(item, range.str());
    }
    return value;
  }

  // A lease that one or two lost renewals end would change hands on a healthy cluster.
  void check_roles(const pugi::xml_node& root, const Operator& settings) const {
    constexpr double kLeastRenewals = 3;
    if (!settings.roles || settings.roles_ttl >= settings.roles_renew * kLeastRenewals) return;
    std::ostringstream fault;
    fault << "duties/ttl: must be at least " << kLeastRenewals << " times duties/renew-every ("
          << settings.roles_renew.count() << " s)";
    fail(root.child("duties"), fault.str());
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
