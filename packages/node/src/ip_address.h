#ifndef CACTUSSHELF_NODE_IP_ADDRESS_H_
#define CACTUSSHELF_NODE_IP_ADDRESS_H_

#include <string>

namespace cactusshelf {

// IP address of "<IP address>:<port>".
inline std::string IpOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_IP_ADDRESS_H_
