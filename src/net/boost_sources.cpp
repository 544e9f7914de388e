// SPDX-License-Identifier: Apache-2.0
//
// The definitions of Boost libraries that are used with separate compilation.
#include <boost/asio/impl/src.hpp>
#include <boost/json/src.hpp>
#include <boost/url/src.hpp>
