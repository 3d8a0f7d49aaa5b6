// Reads and validates typed fields of a TOML file.
#pragma once
#include <toml++/toml.h>

#include <functional>
#include <string>
#include <string_view>

#include "dunlinknot/http/socket.hpp"

namespace dunlinknot::settings {

// Every function throws settings::Error if a field is missing or invalid. The error states the
// file, the line if it is known, and the field. `name` is the field's full name in that text, such
// as "params.workers.lease_s".
class TomlReader {
 public:
  // Parses the file; throws settings::Error if it cannot be opened or is not valid TOML.
  explicit TomlReader(std::string path);

  const toml::table& root() const { return root_; }

  // Throws an error about the field `name`. `node` gives the line, if set.
  [[noreturn]] void fail(const std::string& name, const std::string& error,
                         const toml::node* node = nullptr) const;

  // A required field of any type.
  const toml::node& required(const toml::table& table, std::string_view key,
                             const std::string& name) const;
  // A non-empty string.
  std::string text(const toml::table& table, std::string_view key, const std::string& name) const;
  // A finite number from `min` to `max`, both included.
  double number(const toml::table& table, std::string_view key, const std::string& name, double min,
                double max) const;
  // An IPv4 address with a port.
  http::Endpoint endpoint(const toml::table& table, std::string_view key,
                          const std::string& name) const;
  const toml::table& table(const toml::table& parent, std::string_view key,
                           const std::string& name) const;

  // Called with one table of an array and the prefix of its fields' names, such as "seeds[0].".
  using TableVisitor = std::function<void(const toml::table& table, const std::string& prefix)>;
  // Calls `visit` with each table of an array of tables. A missing array counts as empty.
  void for_each_table(const toml::table& parent, std::string_view key, const std::string& name,
                      const TableVisitor& visit) const;

 private:
  std::string path_;
  toml::table root_;
};

}  // namespace dunlinknot::settings
