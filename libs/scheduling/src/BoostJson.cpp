/// @file
/// @brief The one source file with the functions of Boost.JSON, which is used as headers only.

#include <boost/json/src.hpp>
