#include <base/typed_id.h>

namespace pollen {

version_ref parseVersionRef(const std::string& text)
{
    const size_t slash = text.find('/');
    if (slash == std::string::npos)
        return { model_name(text), version_name() };
    return { model_name(text.substr(0, slash)), version_name(text.substr(slash + 1)) };
}

} // namespace pollen
