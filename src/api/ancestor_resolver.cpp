#include "api/ancestor_resolver.hpp"

#include <string>
#include <utility>

#include "api/request_limits.hpp"
#include "kv/keys.hpp"
#include "kv/records.hpp"

namespace dunebridge::api {

void AncestorResolver::resolve(JobRequest request, std::vector<JobId> terminal) {
    std::vector<std::string> ids;
    ids.reserve(terminal.size());
    for (const auto& id : terminal) ids.push_back(id.get());
    kv_client_.multi_get(kv::kTerminalPrefix, std::move(ids), kReadTimeout,
                         [this, terminal = std::move(terminal),
                          request = std::move(request)](const kv::MultiGetResult& rows) mutable {
                             const auto resolution =
                                 apply_terminal_records(request, terminal, rows);
                             handle_resolution(std::move(request), resolution);
                         });
}

AncestorResolver::Resolution AncestorResolver::apply_terminal_records(
    JobRequest& request, const std::vector<JobId>& terminal, const kv::MultiGetResult& rows) {
    auto resolution = Resolution::all_done;
    for (const auto& id : terminal) {
        const auto row = rows.entries.find(kv::terminal_key(id));
        if (!rows.available || row == rows.entries.end()) return Resolution::unavailable;
        if (kv::decode_terminal_record(row->second.value).done()) {
            std::erase(request.submission.record.ancestors, id);
            cache_.remove_ancestor(request.job, id);
        } else {
            resolution = Resolution::some_cancelled;
        }
    }
    return resolution;
}

void AncestorResolver::handle_resolution(JobRequest request, Resolution resolution) {
    if (resolution == Resolution::unavailable) {
        responder_.respond_unavailable(request);
    } else if (request.kind == RequestKind::submission) {
        if (resolution == Resolution::some_cancelled) request.submission.cancelled = true;
        pipeline_.prepare_submission(std::move(request));
    } else if (resolution == Resolution::some_cancelled) {
        pipeline_.commit_cancellation(std::move(request));
    } else {
        pipeline_.enqueue(std::move(request));
    }
}

}  // namespace dunebridge::api
