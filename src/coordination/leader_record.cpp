#include "coordination/leader_record.hpp"

namespace dunebridge::coordination {

std::string encode(const LeaderRecord& record) {
    wire::Writer writer;
    writer.map(3);
    writer.text("node").text(record.node.get());
    writer.text("incarnation").text(record.incarnation);
    writer.text("term").count(record.term.get());
    return writer.take();
}

LeaderRecord decode_leader_record(wire::Value value) {
    LeaderRecord record;
    record.node = ControllerName(std::string(value["node"].text().value_or("")));
    record.incarnation = value["incarnation"].text().value_or("");
    record.term = Term(value["term"].count().value_or(0));
    return record;
}

}  // namespace dunebridge::coordination
