// Reads a settings file into memory.
#include "dunlinknot/settings/text_file.hpp"

#include <fstream>
#include <iterator>

#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::settings {

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw Error(path + ": cannot open the file");
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

}  // namespace dunlinknot::settings
