#include <relay/stream_fault.h>

namespace pollen {

const char* toText(stream_fault fault)
{
    switch (fault) {
    case stream_fault::None:
        return "none";
    case stream_fault::OtherType:
        return "other_type";
    case stream_fault::ForeignLine:
        return "foreign_line";
    case stream_fault::LineEnd:
        return "line_end";
    case stream_fault::IncompleteEvent:
        return "incomplete_event";
    case stream_fault::UnexpectedId:
        return "unexpected_id";
    }
    return "none";
}

} // namespace pollen
