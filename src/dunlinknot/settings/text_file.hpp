// Reads a settings file into memory.
#pragma once
#include <string>

namespace dunlinknot::settings {

// Returns the bytes of the file. Throws settings::Error if it cannot be opened.
std::string read_file(const std::string& path);

}  // namespace dunlinknot::settings
