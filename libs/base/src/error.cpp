#include <base/error.h>

#include <cstring>

namespace pollen {

system_error::system_error(const std::string& what, int errnoValue)
    : error(what + ": " + std::strerror(errnoValue))
    , m_errno(errnoValue)
{
}

} // namespace pollen
