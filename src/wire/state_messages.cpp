#include "wire/state_messages.hpp"

namespace dunebridge::wire {

namespace {

void encode_precondition(Writer& writer, const Precondition& precondition) {
    writer.map(2).text("key").text(precondition.key);
    writer.text("key_rev").count(precondition.rev.get());
}

void encode_write(Writer& writer, const Write& write) {
    if (!write.value) {
        writer.map(1).text("remove").text(write.key);
        return;
    }
    writer.map(write.lease ? 3 : 2).text("set").text(write.key).text("value").raw(*write.value);
    if (write.lease) writer.text("tenancy").count(write.lease->get());
}

}  // namespace

std::string encode_transaction(const std::vector<Precondition>& preconditions,
                               const std::vector<Write>& writes) {
    Writer writer;
    writer.map(2).text("guards").list(preconditions.size());
    for (const auto& precondition : preconditions) encode_precondition(writer, precondition);
    writer.text("writes").list(writes.size());
    for (const auto& write : writes) encode_write(writer, write);
    return writer.take();
}

}  // namespace dunebridge::wire
