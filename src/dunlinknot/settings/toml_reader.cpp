// Reads and validates typed fields of a TOML file; errors state file, line and field.
#include "dunlinknot/settings/toml_reader.hpp"

#include <cmath>
#include <sstream>
#include <utility>

#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/settings/text_file.hpp"

namespace dunlinknot::settings {

TomlReader::TomlReader(std::string path) : path_(std::move(path)) {
  const std::string content = read_file(path_);
  try {
    root_ = toml::parse(content, path_);
  } catch (const toml::parse_error& error) {
    throw Error(path_ + ":" + std::to_string(error.source().begin.line) + ": " +
                std::string(error.description()));
  }
}

void TomlReader::fail(const std::string& name, const std::string& error,
                      const toml::node* node) const {
  std::string location = path_;
  if (node && node->source().begin.line > 0)
    location += ":" + std::to_string(node->source().begin.line);
  throw Error(location + ": " + name + ": " + error);
}

const toml::node& TomlReader::required(const toml::table& table, std::string_view key,
                                       const std::string& name) const {
  const toml::node* node = table.get(key);
  if (!node) fail(name, "is missing");
  return *node;
}

std::string TomlReader::text(const toml::table& table, std::string_view key,
                             const std::string& name) const {
  const toml::node& node = required(table, key, name);
  const auto value = node.value_exact<std::string>();
  if (!value || value->empty()) fail(name, "must be a non-empty string", &node);
  return *value;
}

double TomlReader::number(const toml::table& table, std::string_view key, const std::string& name,
                          double min, double max) const {
  const toml::node& node = required(table, key, name);
  if (!node.is_number()) fail(name, "must be a number", &node);
  const double value = node.value<double>().value_or(NAN);
  if (!std::isfinite(value) || value < min || value > max) {
    std::ostringstream range;
    range << "must be between " << min << " and " << max;
    fail(name, range.str(), &node);
  }
  return value;
}

http::Endpoint TomlReader::endpoint(const toml::table& table, std::string_view key,
                                    const std::string& name) const {
  const toml::node& node = required(table, key, name);
  const auto endpoint = http::Endpoint::parse(text(table, key, name));
  if (!endpoint) fail(name, "must be an IPv4 address with a port, such as 10.0.0.1:8080", &node);
  return *endpoint;
}

const toml::table& TomlReader::table(const toml::table& parent, std::string_view key,
                                     const std::string& name) const {
  const toml::node& node = required(parent, key, name);
  if (!node.is_table()) fail(name, "must be a table", &node);
  return *node.as_table();
}

void TomlReader::for_each_table(const toml::table& parent, std::string_view key,
                                const std::string& name, const TableVisitor& visit) const {
  const toml::node* array = parent.get(key);
  if (!array) return;
  if (!array->is_array()) fail(name, "must be an array of tables", array);
  size_t index = 0;
  for (const toml::node& item : *array->as_array()) {
    const std::string item_name = name + "[" + std::to_string(index++) + "]";
    if (!item.is_table()) fail(item_name, "must be a table", &item);
    visit(*item.as_table(), item_name + ".");
  }
}

}  // namespace dunlinknot::settings
