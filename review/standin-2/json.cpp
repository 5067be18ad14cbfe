// Boost.JSON, compiled into the stand-ins.
#include <boost/json/src.hpp>
