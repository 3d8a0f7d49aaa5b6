// Reads a settings file as a whole.
#pragma once
#include <string>

namespace dunlinknot::settings {

// The file's bytes; throws settings::Error when it cannot be read.
std::string read_file(const std::string& path);

}  // namespace dunlinknot::settings
