// Compiles Asio and Beast once for all files, as BOOST_ASIO_SEPARATE_COMPILATION requires.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
