#include "session/epochstart.h"

#include <utility>

namespace cicadagap {

namespace {

using Done = std::function<void(std::optional<EpochStart>)>;

std::optional<EpochStart> recorded(const std::optional<EpochRecord> &record, std::uint64_t epoch)
{
    if (!record || record->epoch != epoch || !record->seenAt)
        return std::nullopt;
    return EpochStart{.seenAt = *record->seenAt, .storeNow = record->storeNow};
}

} // namespace

void findEpochStart(PlatformClient *platform, std::uint64_t epoch, Done done)
{
    platform->readEpoch(
        epoch, [=, done = std::move(done)](const std::optional<EpochRecord> &record) {
            if (!record || record->epoch != epoch || record->seenAt) {
                done(recorded(record, epoch));
                return;
            }
            const Millis seenAt = record->storeNow;
            platform->recordEpoch(epoch, seenAt, [=](Verdict verdict) {
                if (verdict == Verdict::Ran) {
                    done(EpochStart{.seenAt = seenAt, .storeNow = seenAt});
                    return;
                }
                // Another host may have recorded it meanwhile.
                platform->readEpoch(epoch, [=](const std::optional<EpochRecord> &again) {
                    done(recorded(again, epoch));
                });
            });
        });
}

} // namespace cicadagap
