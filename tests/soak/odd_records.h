#pragma once

#include <string>

namespace lagoonwind::testing {

/// Returns a record that names no backend server to use, though it lies among those of backend
/// servers: deeply nested, with numbers or ports out of range, or unreadable.
/// \param variant  Selects one of the kinds; taken modulo their number.
/// \param address  `IP:PORT` of a backend server, used where the record has a proper address.
std::string OddServerRecord(int variant, const std::string& address);

}  // namespace lagoonwind::testing
