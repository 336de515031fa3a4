// Compiles Boost.JSON, of which Debian installs only the headers in this version.
#include <boost/json/src.hpp>
