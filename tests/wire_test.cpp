// Encoding and validation of submissions, heartbeats, stored records and peer frames.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "dunlinknot/wire/peer.hpp"
#include "dunlinknot/wire/records.hpp"
#include "site.hpp"

namespace dunlinknot::wire {
namespace {

using FieldWriter = std::function<void(Writer&)>;

// A valid submission in which `write_field` writes the value of `field`. An empty `write_field`
// leaves the field out; a `field` that is unknown is added.
std::string submission(const std::string& field = "", const FieldWriter& write_field = {}) {
  const std::vector<std::pair<std::string, FieldWriter>> fields = {
      {"id", [](Writer& writer) { writer.text("run-000412"); }},
      {"docket", [](Writer& writer) { writer.text("train"); }},
      {"crew", [](Writer& writer) { writer.text("red"); }},
      {"shape", [](Writer& writer) { writer.text("ensemble"); }},
      {"rank", [](Writer& writer) { writer.text("high"); }},
      {"pieces", [](Writer& writer) { writer.count(16); }},
      {"cores", [](Writer& writer) { writer.amount(8); }},
      {"gpus", [](Writer& writer) { writer.count(1); }},
      {"ramGb", [](Writer& writer) { writer.amount(64); }},
      {"bundle", [](Writer& writer) { writer.text("img-07"); }},
      {"sizeGb", [](Writer& writer) { writer.amount(6.2); }},
      {"together", [](Writer& writer) { writer.flag(true); }},
      {"apart", [](Writer& writer) { writer.flag(false); }},
      {"loaners", [](Writer& writer) { writer.flag(true); }},
      {"reckonS", [](Writer& writer) { writer.count(240); }},
      {"markEveryS", [](Writer& writer) { writer.amount(30); }},
      {"markCostS", [](Writer& writer) { writer.amount(4); }},
      {"dueS", [](Writer& writer) { writer.null(); }},
      {"later_field", [](Writer& writer) { writer.list(0); }},
  };
  const bool known =
      std::any_of(fields.begin(), fields.end(), [&](const auto& f) { return f.first == field; });
  const size_t size =
      fields.size() - (known && !write_field ? 1 : 0) + (!known && write_field ? 1 : 0);
  Writer writer;
  writer.map(size);
  for (const auto& [name, value] : fields) {
    if (name == field && !write_field) continue;
    writer.key(name);
    (name == field ? write_field : value)(writer);
  }
  if (!known && write_field) {
    writer.key(field);
    write_field(writer);
  }
  return writer.take();
}

bool accepted(const std::string& body) {
  const auto document = Document::parse(body);
  std::string error;
  return document && read_job(document->root(), error).has_value();
}

TEST(Submission, AcceptsIntegerAndDecimalAmountsAndOmittedOptionalField) {
  const std::string body = submission();
  const auto document = Document::parse(body);
  std::string error;
  const auto job = read_job(document->root(), error);
  ASSERT_TRUE(job) << error;
  EXPECT_EQ(job->need.gpus, 1);
  EXPECT_EQ(job->estimate, Seconds(240));
  EXPECT_FALSE(job->deadline);
  EXPECT_TRUE(accepted(submission("dueS")));
}

TEST(Submission, RejectsMissingOrInvalidFields) {
  for (const char* field :
       {"id", "docket", "crew", "shape", "rank", "pieces", "cores", "gpus", "ramGb", "bundle",
        "sizeGb", "together", "apart", "loaners", "reckonS", "markEveryS", "markCostS"}) {
    EXPECT_FALSE(accepted(submission(field))) << field << " missing";
    EXPECT_FALSE(accepted(submission(field, [](Writer& writer) { writer.list(0); })))
        << field << " a list";
    EXPECT_FALSE(accepted(submission(field, [](Writer& writer) { writer.null(); })))
        << field << " null";
  }
  for (const char* field : {"cores", "gpus", "ramGb", "sizeGb", "reckonS", "markEveryS", "dueS"}) {
    EXPECT_FALSE(accepted(submission(field, [](Writer& writer) { writer.amount(-1); }))) << field;
    EXPECT_FALSE(accepted(submission(field, [](Writer& writer) { writer.amount(NAN); }))) << field;
    EXPECT_FALSE(accepted(submission(field, [](Writer& writer) { writer.amount(INFINITY); })))
        << field;
  }
  for (const uint64_t count :
       {uint64_t{0}, uint64_t{100'001}, std::numeric_limits<uint64_t>::max()}) {
    EXPECT_FALSE(accepted(submission("pieces", [&](Writer& writer) { writer.count(count); })))
        << count;
  }
  EXPECT_FALSE(accepted(submission("pieces", [](Writer& writer) { writer.amount(2.5); })));
  for (const char* id : {"", "run-", "run-12", "job-000001", "run-00000x", "run-000001/1",
                         "run-0000000000000000000001"}) {
    EXPECT_FALSE(accepted(submission("id", [&](Writer& writer) { writer.text(id); }))) << id;
  }
  EXPECT_FALSE(accepted(submission("rigs", [](Writer& writer) { writer.list(1).count(1); })));
  EXPECT_FALSE(accepted(submission("rank", [](Writer& writer) { writer.text("urgent"); })));
}

TEST(MessagePack, MalformedBytesAreRejected) {
  const std::string valid = submission();
  for (size_t size = 0; size < valid.size(); ++size)
    EXPECT_FALSE(Document::parse(valid.substr(0, size))) << size;
  EXPECT_FALSE(Document::parse(valid + "x"));
  // A list that declares 4,294,967,295 elements, and lists nested 5000 levels deep.
  EXPECT_FALSE(Document::parse(std::string("\xdd\xff\xff\xff\xff", 5)));
  EXPECT_FALSE(Document::parse(std::string(5000, '\x91')));
}

TEST(Heartbeat, WrittenHeartbeatIsReadBackUnchanged) {
  Heartbeat heartbeat;
  heartbeat.machine = "vm-000231";
  heartbeat.address = "10.1.0.232:9000";
  heartbeat.type = "g8";
  heartbeat.zone = "a";
  heartbeat.incarnation = 3;
  heartbeat.sequence = 88;
  heartbeat.fencing_token = 41;
  heartbeat.interruption_notice = Seconds(7.5);
  heartbeat.tasks = {{{"run-000412", 3}, 2, TaskState::running, ExitCause::none, false},
                     {{"run-000398", 0}, 1, TaskState::exited, ExitCause::stopped, true}};
  const auto back = read_heartbeat(write_heartbeat(heartbeat));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->tasks.size(), 2u);
  EXPECT_EQ(back->tasks[1].cause, ExitCause::stopped);
  EXPECT_TRUE(back->tasks[1].saved);
  EXPECT_EQ(back->interruption_notice, Seconds(7.5));
  EXPECT_EQ(back->fencing_token, 41u);
}

TEST(Heartbeat, UnreadableTaskRejectsWholeHeartbeat) {
  // A task that a heartbeat does not list counts as absent from the machine. If only the unreadable
  // entry were skipped, a running task would be taken for absent.
  Writer writer;
  writer.map(9).key("host").text("vm-1").key("address").text("10.0.0.1:1").key("rig").text("g8");
  writer.key("yard").text("a").key("loaners").flag(false).key("shift").count(1).key("tally").count(
      1);
  writer.key("baton").count(1).key("pieces").list(1).map(2).key("piece").text("run-000001/0");
  writer.key("try").count(1);
  EXPECT_FALSE(read_heartbeat(writer.take()));
}

TEST(Records, MaxTasksFitIntoMinimumValueSize) {
  std::vector<bool> done(kMaxTasks);
  for (size_t i = 0; i < done.size(); i += 3) done[i] = true;
  std::vector<bool> read_back(kMaxTasks);
  const uint32_t chunks = (kMaxTasks + kChunkTasks - 1) / kChunkTasks;
  for (uint32_t chunk = 0; chunk < chunks; ++chunk) {
    const std::string packed = write_done_chunk(done, chunk);
    EXPECT_LT(packed.size(), 6u * 1024);
    const auto document = Document::parse(packed);
    ASSERT_TRUE(read_done_chunk(document->root(), chunk, read_back));
  }
  EXPECT_EQ(done, read_back);
  EXPECT_LE(chunks, 13u);
}

TEST(Records, WrittenJobAndMachineAreReadBackUnchanged) {
  JobRecord record{test::job("run-000007", 3), WallTime(Millis(1234567))};
  record.spec.types = {"box", "big"};
  record.spec.zone = "a";
  record.spec.deadline = Seconds(90);
  const std::string packed = write_job_record(record);
  const auto document = Document::parse(packed);
  const auto back = read_job_record(document->root());
  ASSERT_TRUE(back);
  EXPECT_EQ(back->submitted, record.submitted);
  EXPECT_EQ(back->spec.types, record.spec.types);
  EXPECT_EQ(back->spec.deadline, record.spec.deadline);

  MachineRecord machine{
      "box", "a", "10.0.0.1:9", true, {{"run-000007", "red", {1, 2, 3}, true, {{0, 5}}}}};
  const std::string packed_machine = write_machine_record(machine);
  const auto machine_document = Document::parse(packed_machine);
  const auto machine_back = read_machine_record(machine_document->root());
  ASSERT_TRUE(machine_back);
  ASSERT_EQ(machine_back->groups.size(), 1u);
  EXPECT_EQ(machine_back->groups[0].tasks, machine.groups[0].tasks);
  EXPECT_EQ(machine_back->groups[0].need.gpus, 2);
  EXPECT_TRUE(machine_back->spot);
}

TEST(PeerFrames, StatusIsReadBackUnchangedAndMalformedFramesAreRejected) {
  peer::Status status;
  status.sequence = 7;
  status.echo = 6;
  status.epoch = 0x1122334455667788;
  status.cancel_revision = 4'300'000'000;
  status.store_response_age = Millis(1500);
  status.uptime = Millis(99);
  status.leading = true;
  status.store_has_responded = true;
  status.node = "dunlin-1";
  status.leader = "dunlin-2";
  const std::string frame = peer::write_status(status);
  // The layout is little-endian on every machine.
  EXPECT_EQ(static_cast<unsigned char>(frame[12 + 16]), 0x88);
  const auto header = peer::read_header(frame.substr(0, peer::kHeaderBytes));
  ASSERT_TRUE(header);
  EXPECT_EQ(header->length, frame.size() - peer::kHeaderBytes);
  const auto back = peer::read_status(std::string_view(frame).substr(peer::kHeaderBytes));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->epoch, status.epoch);
  EXPECT_EQ(back->cancel_revision, status.cancel_revision);
  EXPECT_EQ(back->leader, "dunlin-2");
  EXPECT_TRUE(back->leading);
  EXPECT_FALSE(back->heartbeat_received);

  std::string malformed = frame;
  malformed[4] = 9;  // an unsupported version
  EXPECT_FALSE(peer::read_header(malformed.substr(0, peer::kHeaderBytes)));
  malformed = frame;
  malformed[0] = 'x';
  EXPECT_FALSE(peer::read_header(malformed.substr(0, peer::kHeaderBytes)));
  malformed = frame;
  malformed[11] = 1;  // a length of 16 MiB
  EXPECT_FALSE(peer::read_header(malformed.substr(0, peer::kHeaderBytes)));
  EXPECT_FALSE(peer::read_status(std::string_view(frame).substr(peer::kHeaderBytes + 1)));

  peer::Progress progress{3, {{"run-000001", 4, 5}}};
  const std::string progress_frame = peer::write_progress(progress);
  const auto progress_back =
      peer::read_progress(std::string_view(progress_frame).substr(peer::kHeaderBytes));
  ASSERT_TRUE(progress_back);
  EXPECT_EQ(progress_back->entries[0].running, 5u);
  EXPECT_FALSE(peer::read_progress(
      std::string_view(progress_frame)
          .substr(peer::kHeaderBytes, progress_frame.size() - peer::kHeaderBytes - 1)));

  const std::string cancelled_frame = peer::write_cancelled("run-000412");
  const std::string_view body = std::string_view(cancelled_frame).substr(peer::kHeaderBytes);
  EXPECT_EQ(peer::read_header(cancelled_frame.substr(0, peer::kHeaderBytes))->kind,
            peer::Kind::cancelled);
  EXPECT_EQ(peer::read_cancelled(body), "run-000412");
  EXPECT_FALSE(peer::read_cancelled(body.substr(1)));
}

}  // namespace
}  // namespace dunlinknot::wire
