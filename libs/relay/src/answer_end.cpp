#include <relay/answer_end.h>

namespace pollen {

bool isWhole(const answer_end& end)
{
    if (end.body == body_end::Broken)
        return false;
    if (!end.isStream)
        return true;
    if (end.fault != stream_fault::None || end.isWithinEvent)
        return false;
    if (end.events > 0)
        return true;
    return end.isResumed && !end.lacksEvent && end.body == body_end::Framed;
}

} // namespace pollen
