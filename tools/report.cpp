// dunlinknot-report: an HTML page with plots from the history of a handover run.
//
// Reads history.csv as `handover_run` writes it; draws with gnuplot, fills the page with ctemplate,
// which escapes whatever stands in the history.
#include <ctemplate/template.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

namespace fs = std::filesystem;

struct Event {
  double time = 0;
  std::string kind;
  std::string node;
  uint64_t token = 0;
  std::string name;
  bool changed = false;
};

// A time without a holder: from a fault, or from the moment the key went, to the next holding.
struct Gap {
  std::string fault;
  double begin = 0;
  double length = 0;
};

struct RoleGrant {
  std::string node;
  uint64_t token = 0;
  double begin = 0;
  double end = 0;
  uint64_t acts = 0;
  uint64_t changed = 0;
};

bool is_act(const Event& event) {
  return event.kind == "rent" || event.kind == "return";
}

Event parse_line(const std::string& line, size_t number) {
  std::istringstream in(line);
  std::array<std::string, 6> fields;
  for (std::string& field : fields) {
    if (!std::getline(in, field, ',')) {
      throw std::runtime_error("line " + std::to_string(number) + ": six fields are needed");
    }
  }
  try {
    return {std::stod(fields[0]),   fields[1], fields[2],
            std::stoull(fields[3]), fields[4], fields[5] == "1"};
  } catch (const std::logic_error&) {
    throw std::runtime_error("line " + std::to_string(number) + ": not a number");
  }
}

std::vector<Event> read_history(const fs::path& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error("cannot read " + path.string());
  std::vector<Event> events;
  std::string line;
  std::getline(in, line);  // the names of the fields
  for (size_t number = 2; std::getline(in, line); ++number) {
    events.push_back(parse_line(line, number));
  }
  return events;
}

std::vector<RoleGrant> holdings_of(const std::vector<Event>& events) {
  std::vector<RoleGrant> out;
  std::map<uint64_t, size_t> by_token;
  for (const Event& event : events) {
    if (event.kind == "holder") {
      if (!out.empty() && out.back().end == 0) out.back().end = event.time;
      by_token[event.token] = out.size();
      out.push_back({event.node, event.token, event.time, 0, 0, 0});
    } else if (event.kind == "vacant") {
      if (!out.empty() && out.back().end == 0) out.back().end = event.time;
    } else if (is_act(event)) {
      const auto grant_held = by_token.find(event.token);
      if (grant_held == by_token.end()) continue;
      ++out[grant_held->second].acts;
      out[grant_held->second].changed += event.changed ? 1 : 0;
    }
  }
  if (!out.empty() && out.back().end == 0) out.back().end = events.back().time;
  return out;
}

std::vector<Gap> gaps_of(const std::vector<Event>& events) {
  std::vector<Gap> out;
  const Event* fault = nullptr;
  for (const Event& event : events) {
    if (event.kind == "holder" && fault) {
      out.push_back({fault->kind, fault->time, event.time - fault->time});
      fault = nullptr;
    } else if (event.kind != "holder" && event.kind != "vacant" && event.kind != "violation" &&
               !is_act(event)) {
      fault = &event;
    }
  }
  return out;
}

// Runs gnuplot on a script; its words are fixed, only files that we wrote ourselves are named.
void plot(const fs::path& directory, const std::string& script) {
  const fs::path file = directory / "plot.gp";
  std::ofstream(file) << script;
  const std::string command = "cd '" + directory.string() + "' && gnuplot plot.gp";
  if (std::system(command.c_str()) != 0) throw std::runtime_error("gnuplot failed");
  fs::remove(file);
}

void plot_holders(const fs::path& directory, const std::vector<RoleGrant>& holdings) {
  std::map<std::string, int> rows;
  for (const RoleGrant& h : holdings) rows.emplace(h.node, 0);
  std::string tics;
  int row = 0;
  for (auto& [node, number] : rows) {
    number = row++;
    if (!tics.empty()) tics += ", ";
    tics += "'controller " + std::to_string(number) + "' " + std::to_string(number);
  }
  std::ofstream data(directory / "holders.dat");
  for (const RoleGrant& h : holdings) {
    data << h.begin << ' ' << rows[h.node] << ' ' << h.end - h.begin << " 0\n";
  }
  data.close();
  plot(directory,
       "set terminal svg size 1100,260\nset output 'holders.svg'\nset xlabel 'seconds'\n"
       "set yrange [-0.5:" +
           std::to_string(row) + "]\nset ytics (" + tics +
           ")\nunset key\nplot 'holders.dat' using 1:2:3:4 with vectors nohead linewidth 8\n");
  fs::remove(directory / "holders.dat");
}

void plot_gaps(const fs::path& directory, const std::vector<Gap>& gaps) {
  std::ofstream data(directory / "gaps.dat");
  for (const Gap& gap : gaps) data << gap.begin << ' ' << gap.length << '\n';
  data.close();
  plot(directory,
       "set terminal svg size 1100,260\nset output 'gaps.svg'\nset xlabel 'seconds'\n"
       "set ylabel 'seconds without a holder'\nset yrange [0:]\nunset key\n"
       "plot 'gaps.dat' using 1:2 with points pointtype 7 pointsize 0.5\n");
  fs::remove(directory / "gaps.dat");
}

std::string seconds_text(double seconds) {
  std::ostringstream out;
  out.precision(3);
  out << std::fixed << seconds;
  return out.str();
}

void fill_gaps(ctemplate::TemplateDictionary& page, const std::vector<Gap>& gaps) {
  std::map<std::string, std::vector<double>> by_fault;
  for (const Gap& gap : gaps) by_fault[gap.fault].push_back(gap.length);
  for (auto& [fault, lengths] : by_fault) {
    std::sort(lengths.begin(), lengths.end());
    ctemplate::TemplateDictionary* row = page.AddSectionDictionary("GAP");
    row->SetValue("FAULT", fault);
    row->SetIntValue("COUNT", static_cast<long>(lengths.size()));
    row->SetValue("MEDIAN", seconds_text(lengths[lengths.size() / 2]));
    row->SetValue("WORST", seconds_text(lengths.back()));
  }
}

void fill_holdings(ctemplate::TemplateDictionary& page, const std::vector<RoleGrant>& holdings) {
  for (const RoleGrant& grant_held : holdings) {
    ctemplate::TemplateDictionary* row = page.AddSectionDictionary("HOLDING");
    row->SetIntValue("TOKEN", static_cast<long>(grant_held.token));
    row->SetValue("NODE", grant_held.node);
    row->SetValue("BEGIN", seconds_text(grant_held.begin));
    row->SetValue("LENGTH", seconds_text(grant_held.end - grant_held.begin));
    row->SetIntValue("ACTS", static_cast<long>(grant_held.acts));
    row->SetIntValue("CHANGED", static_cast<long>(grant_held.changed));
  }
}

constexpr const char* kPage = R"({{%AUTOESCAPE context="HTML"}}<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Handovers of the duties</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}
td,th{border:1px solid #999;padding:2px 8px;text-align:right}.bad{color:#b00}</style></head><body>
<h1>Handovers of the duties</h1>
<p>{{EVENTS}} events, {{HOLDINGS}} holdings, {{ACTS}} acts at the cloud ({{CHANGED}} with effect).</p>
<p>Violations: {{VIOLATIONS}}</p>
{{#VIOLATION}}<p class="bad">{{WHAT}}</p>
{{/VIOLATION}}<h2>Holders</h2><img src="holders.svg" alt="Which controller held the duties when">
<h2>Times without a holder</h2><img src="gaps.svg" alt="Time without a holder after each fault">
<table><tr><th>fault</th><th>times</th><th>median, s</th><th>worst, s</th></tr>
{{#GAP}}<tr><td>{{FAULT}}</td><td>{{COUNT}}</td><td>{{MEDIAN}}</td><td>{{WORST}}</td></tr>
{{/GAP}}</table>
<h2>Acts under each token</h2>
<table><tr><th>token</th><th>holder</th><th>from, s</th><th>for, s</th><th>acts</th><th>with effect</th></tr>
{{#HOLDING}}<tr><td>{{TOKEN}}</td><td>{{NODE}}</td><td>{{BEGIN}}</td><td>{{LENGTH}}</td><td>{{ACTS}}</td><td>{{CHANGED}}</td></tr>
{{/HOLDING}}</table>
</body></html>
)";

void write_page(const fs::path& directory, const std::vector<Event>& events) {
  const std::vector<RoleGrant> holdings = holdings_of(events);
  const std::vector<Gap> gaps = gaps_of(events);
  plot_holders(directory, holdings);
  plot_gaps(directory, gaps);
  ctemplate::TemplateDictionary page("page");
  long acts = 0;
  long changed = 0;
  long violations = 0;
  for (const Event& event : events) {
    if (is_act(event)) ++acts;
    if (is_act(event) && event.changed) ++changed;
    if (event.kind != "violation") continue;
    ++violations;
    page.AddSectionDictionary("VIOLATION")->SetValue("WHAT", event.name);
  }
  page.SetIntValue("EVENTS", static_cast<long>(events.size()));
  page.SetIntValue("HOLDINGS", static_cast<long>(holdings.size()));
  page.SetIntValue("ACTS", acts);
  page.SetIntValue("CHANGED", changed);
  page.SetIntValue("VIOLATIONS", violations);
  fill_gaps(page, gaps);
  fill_holdings(page, holdings);
  if (!ctemplate::StringToTemplateCache("page", kPage, ctemplate::DO_NOT_STRIP)) {
    throw std::runtime_error("the page's template is faulty");
  }
  std::string html;
  if (!ctemplate::ExpandTemplate("page", ctemplate::DO_NOT_STRIP, &page, &html)) {
    throw std::runtime_error("the page could not be written");
  }
  std::ofstream(directory / "index.html") << html;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    std::string history;
    std::string output;
    CLI::App app{"Makes an HTML page with plots from the history of a handover run"};
    app.add_option("history", history, "history.csv")->required();
    app.add_option("--output", output, "Directory for the page")->required();
    CLI11_PARSE(app, argc, argv);
    const std::vector<Event> events = read_history(history);
    if (events.empty()) throw std::runtime_error("the history is empty");
    fs::create_directories(output);
    write_page(output, events);
    std::cout << (fs::path(output) / "index.html").string() << "\n";
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "dunlinknot-report: %s\n", e.what());
    return 1;
  }
}
