#include "harness/socket_owner.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace camphor {
namespace {

// Inodes of the sockets with this local port, from the socket table of the
// kernel.
std::set<std::string> FindInodes(std::uint16_t port) {
  const std::string suffix = fmt::format(":{:04X}", port);
  std::set<std::string> inodes;
  std::ifstream table("/proc/self/net/tcp");
  std::string line;
  std::getline(table, line);  // header line
  while (std::getline(table, line)) {
    // Fast path: the table lists all sockets of the machine, most of which do
    // not match.
    if (line.find(suffix) == std::string::npos) continue;
    // Columns: number, local address, remote address, state, queues, timer,
    // retransmissions, user, timeout, inode.
    std::istringstream columns(line);
    std::string number;
    std::string own_address;
    std::string skipped;
    std::string inode;
    columns >> number >> own_address;
    for (int column = 0; column < 7; ++column) columns >> skipped;
    columns >> inode;
    if (own_address.ends_with(suffix)) inodes.insert(inode);
  }
  return inodes;
}

bool OwnsAny(pid_t process, const std::set<std::string>& inodes) {
  std::error_code error;
  std::filesystem::directory_iterator files(fmt::format("/proc/{}/fd", process),
                                            error);
  if (error) return false;
  for (const auto& file : files) {
    const std::string link =
        std::filesystem::read_symlink(file.path(), error).string();
    constexpr std::string_view kPrefix = "socket:[";
    if (error || !link.starts_with(kPrefix)) continue;
    if (inodes.contains(
            link.substr(kPrefix.size(), link.size() - kPrefix.size() - 1))) {
      return true;
    }
  }
  return false;
}

}  // namespace

pid_t FindSocketOwner(const std::vector<pid_t>& processes, std::uint16_t port) {
  const std::set<std::string> inodes = FindInodes(port);
  for (const pid_t process : processes) {
    if (OwnsAny(process, inodes)) return process;
  }
  return 0;
}

}  // namespace camphor
