// Reads typed, checked fields of a TOML file.
#pragma once
#include <toml++/toml.h>

#include <functional>
#include <string>
#include <string_view>

#include "dunlinknot/http/socket.hpp"

namespace dunlinknot::settings {

// Every function throws settings::Error with the file, the line where there is one, and the field
// when a field is missing or impossible. `name` is the field's full name for that text, such as
// "params.workers.lease_s".
class TomlReader {
 public:
  // Parses the file.
  explicit TomlReader(std::string path);

  const toml::table& root() const { return root_; }

  // Throws. `at`: where the fault is, if known.
  [[noreturn]] void fail(const std::string& name, const std::string& fault,
                         const toml::node* at = nullptr) const;

  // A field that must exist, of any type.
  const toml::node& required(const toml::table& table, std::string_view key,
                             const std::string& name) const;
  // A text that is not empty.
  std::string text(const toml::table& table, std::string_view key, const std::string& name) const;
  // A finite number from `least` to `most`.
  double number(const toml::table& table, std::string_view key, const std::string& name,
                double least, double most) const;
  // An IPv4 address with a port.
  http::Endpoint endpoint(const toml::table& table, std::string_view key,
                          const std::string& name) const;
  const toml::table& table(const toml::table& parent, std::string_view key,
                           const std::string& name) const;

  // Called with each table of a list and the prefix of its fields' names, such as "seeds[0].".
  using TableVisitor = std::function<void(const toml::table& table, const std::string& prefix)>;
  // A list of tables; one that is missing is empty.
  void each(const toml::table& parent, std::string_view key, const std::string& name,
            const TableVisitor& visit) const;

 private:
  std::string path_;
  toml::table root_;
};

}  // namespace dunlinknot::settings
