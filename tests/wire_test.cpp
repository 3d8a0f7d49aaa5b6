#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "dunlinknot/wire/peer.hpp"
#include "dunlinknot/wire/records.hpp"
#include "site.hpp"

namespace dunlinknot::wire {
namespace {

using Edit = std::function<void(Writer&)>;

// A submission with one field replaced (or left out, by an empty edit).
std::string submission(const std::string& field = "", const Edit& edit = {}) {
  const std::vector<std::pair<std::string, Edit>> fields = {
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
  const size_t n = fields.size() - (known && !edit ? 1 : 0) + (!known && edit ? 1 : 0);
  Writer writer;
  writer.map(n);
  for (const auto& [name, value] : fields) {
    if (name == field && !edit) continue;
    writer.key(name);
    (name == field ? edit : value)(writer);
  }
  if (!known && edit) {
    writer.key(field);
    edit(writer);
  }
  return writer.take();
}

bool accepted(const std::string& body) {
  const auto doc = Document::parse(body);
  std::string why;
  return doc && read_job(doc->root(), why).has_value();
}

TEST(Submission, TakesWholeAndDecimalAmountsAndOmittedNulls) {
  const std::string body = submission();
  const auto doc = Document::parse(body);
  std::string why;
  const auto j = read_job(doc->root(), why);
  ASSERT_TRUE(j) << why;
  EXPECT_EQ(j->need.gpus, 1);
  EXPECT_EQ(j->estimate, Seconds(240));
  EXPECT_FALSE(j->deadline);
  EXPECT_TRUE(accepted(submission("dueS")));
}

TEST(Submission, RefusesEveryFieldThatIsMissingOrWrong) {
  for (const char* f :
       {"id", "docket", "crew", "shape", "rank", "pieces", "cores", "gpus", "ramGb", "bundle",
        "sizeGb", "together", "apart", "loaners", "reckonS", "markEveryS", "markCostS"}) {
    EXPECT_FALSE(accepted(submission(f))) << f << " missing";
    EXPECT_FALSE(accepted(submission(f, [](Writer& writer) { writer.list(0); }))) << f << " a list";
    EXPECT_FALSE(accepted(submission(f, [](Writer& writer) { writer.null(); }))) << f << " null";
  }
  for (const char* f : {"cores", "gpus", "ramGb", "sizeGb", "reckonS", "markEveryS", "dueS"}) {
    EXPECT_FALSE(accepted(submission(f, [](Writer& writer) { writer.amount(-1); }))) << f;
    EXPECT_FALSE(accepted(submission(f, [](Writer& writer) { writer.amount(NAN); }))) << f;
    EXPECT_FALSE(accepted(submission(f, [](Writer& writer) { writer.amount(INFINITY); }))) << f;
  }
  for (const uint64_t n : {uint64_t{0}, uint64_t{100'001}, std::numeric_limits<uint64_t>::max()}) {
    EXPECT_FALSE(accepted(submission("pieces", [&](Writer& writer) { writer.count(n); }))) << n;
  }
  EXPECT_FALSE(accepted(submission("pieces", [](Writer& writer) { writer.amount(2.5); })));
  for (const char* id : {"", "run-", "run-12", "job-000001", "run-00000x", "run-000001/1",
                         "run-0000000000000000000001"}) {
    EXPECT_FALSE(accepted(submission("id", [&](Writer& writer) { writer.text(id); }))) << id;
  }
  EXPECT_FALSE(accepted(submission("rigs", [](Writer& writer) { writer.list(1).count(1); })));
  EXPECT_FALSE(accepted(submission("rank", [](Writer& writer) { writer.text("urgent"); })));
}

TEST(MessagePack, HostileBytesAreRefused) {
  const std::string good = submission();
  for (size_t n = 0; n < good.size(); ++n) EXPECT_FALSE(Document::parse(good.substr(0, n))) << n;
  EXPECT_FALSE(Document::parse(good + "x"));
  // A list that announces four thousand million entries, and nesting without end.
  EXPECT_FALSE(Document::parse(std::string("\xdd\xff\xff\xff\xff", 5)));
  EXPECT_FALSE(Document::parse(std::string(5000, '\x91')));
}

TEST(Heartbeat, IsReadBackAsWritten) {
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
  const auto r = read_heartbeat(write_heartbeat(heartbeat));
  ASSERT_TRUE(r);
  EXPECT_EQ(r->tasks.size(), 2u);
  EXPECT_EQ(r->tasks[1].cause, ExitCause::stopped);
  EXPECT_TRUE(r->tasks[1].saved);
  EXPECT_EQ(r->interruption_notice, Seconds(7.5));
  EXPECT_EQ(r->fencing_token, 41u);
}

TEST(Heartbeat, WithOneUnreadableTaskIsDroppedWhole) {
  // What is not listed in a heartbeat counts as gone: a heartbeat of which a part is unclear must
  // not.
  Writer writer;
  writer.map(9).key("host").text("vm-1").key("address").text("10.0.0.1:1").key("rig").text("g8");
  writer.key("yard").text("a").key("loaners").flag(false).key("shift").count(1).key("tally").count(
      1);
  writer.key("baton").count(1).key("pieces").list(1).map(2).key("piece").text("run-000001/0");
  writer.key("try").count(1);
  EXPECT_FALSE(read_heartbeat(writer.take()));
}

TEST(Records, AHundredThousandTasksFitTheSmallestValues) {
  std::vector<bool> done(kMaxTasks);
  for (size_t i = 0; i < done.size(); i += 3) done[i] = true;
  std::vector<bool> back(kMaxTasks);
  const uint32_t chunks = (kMaxTasks + kChunkTasks - 1) / kChunkTasks;
  for (uint32_t c = 0; c < chunks; ++c) {
    const std::string v = write_done_chunk(done, c);
    EXPECT_LT(v.size(), 6u * 1024);
    const auto doc = Document::parse(v);
    ASSERT_TRUE(read_done_chunk(doc->root(), c, back));
  }
  EXPECT_EQ(done, back);
  EXPECT_LE(chunks, 13u);
}

TEST(Records, JobAndMachineComeBackAsWritten) {
  JobRecord r{test::job("run-000007", 3), WallTime(Millis(1234567))};
  r.spec.types = {"box", "big"};
  r.spec.zone = "a";
  r.spec.deadline = Seconds(90);
  const std::string packed = write_job_record(r);
  const auto doc = Document::parse(packed);
  const auto back = read_job_record(doc->root());
  ASSERT_TRUE(back);
  EXPECT_EQ(back->submitted, r.submitted);
  EXPECT_EQ(back->spec.types, r.spec.types);
  EXPECT_EQ(back->spec.deadline, r.spec.deadline);

  MachineRecord record{
      "box", "a", "10.0.0.1:9", true, {{"run-000007", "red", {1, 2, 3}, true, {{0, 5}}}}};
  const std::string machine = write_machine_record(record);
  const auto machine_doc = Document::parse(machine);
  const auto machine_back = read_machine_record(machine_doc->root());
  ASSERT_TRUE(machine_back);
  ASSERT_EQ(machine_back->groups.size(), 1u);
  EXPECT_EQ(machine_back->groups[0].tasks, record.groups[0].tasks);
  EXPECT_EQ(machine_back->groups[0].need.gpus, 2);
  EXPECT_TRUE(machine_back->spot);
}

TEST(PeerFrames, AreCheckedBeforeTheyAreRead) {
  peer::Status status;
  status.sequence = 7;
  status.echo = 6;
  status.epoch = 0x1122334455667788;
  status.cancel_revision = 4'300'000'000;
  status.store_silent = Millis(1500);
  status.up = Millis(99);
  status.leading = true;
  status.store_known = true;
  status.node = "dunlin-1";
  status.leader = "dunlin-2";
  const std::string frame = peer::write_status(status);
  // The layout is fixed: little-endian, whatever the machine.
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
  EXPECT_FALSE(back->heartbeats_known);

  std::string other = frame;
  other[4] = 9;  // another version
  EXPECT_FALSE(peer::read_header(other.substr(0, peer::kHeaderBytes)));
  other = frame;
  other[0] = 'x';
  EXPECT_FALSE(peer::read_header(other.substr(0, peer::kHeaderBytes)));
  other = frame;
  other[11] = 1;  // a length of 16 MiB
  EXPECT_FALSE(peer::read_header(other.substr(0, peer::kHeaderBytes)));
  EXPECT_FALSE(peer::read_status(std::string_view(frame).substr(peer::kHeaderBytes + 1)));

  peer::Progress progress{3, {{"run-000001", 4, 5}}};
  const std::string pf = peer::write_progress(progress);
  const auto pb = peer::read_progress(std::string_view(pf).substr(peer::kHeaderBytes));
  ASSERT_TRUE(pb);
  EXPECT_EQ(pb->entries[0].running, 5u);
  EXPECT_FALSE(peer::read_progress(
      std::string_view(pf).substr(peer::kHeaderBytes, pf.size() - peer::kHeaderBytes - 1)));

  const std::string cf = peer::write_cancelled("run-000412");
  const std::string_view body = std::string_view(cf).substr(peer::kHeaderBytes);
  EXPECT_EQ(peer::read_header(cf.substr(0, peer::kHeaderBytes))->kind, peer::Kind::cancelled);
  EXPECT_EQ(peer::read_cancelled(body), "run-000412");
  EXPECT_FALSE(peer::read_cancelled(body.substr(1)));
}

}  // namespace
}  // namespace dunlinknot::wire
