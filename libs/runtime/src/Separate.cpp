// The one place where Asio and Beast are compiled; see BOOST_ASIO_SEPARATE_COMPILATION.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
