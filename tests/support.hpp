// The scripted site, under the name that the tests still include.
#pragma once
#include "site.hpp"
