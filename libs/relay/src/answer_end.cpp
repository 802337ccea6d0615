#include <relay/answer_end.h>

namespace pollen {

bool isWhole(const answer_end& end)
{
    if (end.body == body_end::Broken)
        return false;
    if (!end.isStream)
        return !end.holdsOtherAnswer;
    return end.fault == stream_fault::None && !end.isWithinEvent && end.events > 0;
}

} // namespace pollen
