// SPDX-License-Identifier: Apache-2.0
#include <boost/asio/ssl/impl/src.hpp>
