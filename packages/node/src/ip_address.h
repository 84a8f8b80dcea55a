#ifndef CACTUSSHELF_NODE_IP_ADDRESS_H_
#define CACTUSSHELF_NODE_IP_ADDRESS_H_

#include <string>

namespace cactusshelf {

// Returns the IP address in "<IP address>:<port>".
inline std::string IpFromAddress(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_IP_ADDRESS_H_
