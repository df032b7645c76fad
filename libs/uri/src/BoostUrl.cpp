// Compiles Boost.URL into this library, so that no library of it has to be installed.
#include <boost/url/src.hpp>
