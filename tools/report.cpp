// dunlinknot-report: generates an HTML page with plots from the history of a handover run.
//
// Reads the history.csv of `handover_run`, draws the plots with gnuplot and renders the page with
// ctemplate, which escapes the values from the history.
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

// One line of history.csv.
struct Event {
  double time = 0;
  std::string kind;
  std::string node;
  uint64_t token = 0;
  std::string name;
  bool changed = false;
};

// Time without a holder of the role: from a fault to the next grant. Times in seconds.
struct Vacancy {
  std::string fault;
  double begin = 0;
  double length = 0;
};

// One grant of the role to a node under a fencing token. Times in seconds.
struct RoleGrant {
  std::string node;
  uint64_t token = 0;
  double begin = 0;
  double end = 0;
  uint64_t operations = 0;
  uint64_t changed = 0;
};

bool is_cloud_operation(const Event& event) {
  return event.kind == "rent" || event.kind == "return";
}

Event parse_line(const std::string& line, size_t line_number) {
  std::istringstream in(line);
  std::array<std::string, 6> fields;
  for (std::string& field : fields) {
    if (!std::getline(in, field, ',')) {
      throw std::runtime_error("line " + std::to_string(line_number) +
                               ": expected 6 comma-separated fields");
    }
  }
  try {
    return {std::stod(fields[0]),   fields[1], fields[2],
            std::stoull(fields[3]), fields[4], fields[5] == "1"};
  } catch (const std::logic_error&) {
    throw std::runtime_error("line " + std::to_string(line_number) + ": not a number");
  }
}

std::vector<Event> read_history(const fs::path& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error("cannot read " + path.string());
  std::vector<Event> events;
  std::string line;
  std::getline(in, line);  // header line
  for (size_t line_number = 2; std::getline(in, line); ++line_number) {
    events.push_back(parse_line(line, line_number));
  }
  return events;
}

std::vector<RoleGrant> collect_grants(const std::vector<Event>& events) {
  std::vector<RoleGrant> out;
  std::map<uint64_t, size_t> by_token;
  for (const Event& event : events) {
    if (event.kind == "holder") {
      if (!out.empty() && out.back().end == 0) out.back().end = event.time;
      by_token[event.token] = out.size();
      out.push_back({event.node, event.token, event.time, 0, 0, 0});
    } else if (event.kind == "vacant") {
      if (!out.empty() && out.back().end == 0) out.back().end = event.time;
    } else if (is_cloud_operation(event)) {
      const auto index = by_token.find(event.token);
      if (index == by_token.end()) continue;
      ++out[index->second].operations;
      out[index->second].changed += event.changed ? 1 : 0;
    }
  }
  if (!out.empty() && out.back().end == 0) out.back().end = events.back().time;
  return out;
}

std::vector<Vacancy> collect_vacancies(const std::vector<Event>& events) {
  std::vector<Vacancy> out;
  const Event* fault = nullptr;
  for (const Event& event : events) {
    if (event.kind == "holder" && fault) {
      out.push_back({fault->kind, fault->time, event.time - fault->time});
      fault = nullptr;
    } else if (event.kind != "holder" && event.kind != "vacant" && event.kind != "violation" &&
               !is_cloud_operation(event)) {
      fault = &event;
    }
  }
  return out;
}

// Runs gnuplot on a script. The script must contain only fixed text and names of our own files, no
// values from the history.
void plot(const fs::path& directory, const std::string& script) {
  const fs::path file = directory / "plot.gp";
  std::ofstream(file) << script;
  const std::string command = "cd '" + directory.string() + "' && gnuplot plot.gp";
  if (std::system(command.c_str()) != 0) throw std::runtime_error("gnuplot failed to draw a plot");
  fs::remove(file);
}

void plot_holders(const fs::path& directory, const std::vector<RoleGrant>& grants) {
  std::map<std::string, int> rows;
  for (const RoleGrant& grant : grants) rows.emplace(grant.node, 0);
  std::string tics;
  int row = 0;
  for (auto& [node, row_number] : rows) {
    row_number = row++;
    if (!tics.empty()) tics += ", ";
    tics += "'controller " + std::to_string(row_number) + "' " + std::to_string(row_number);
  }
  std::ofstream data(directory / "holders.dat");
  for (const RoleGrant& grant : grants) {
    data << grant.begin << ' ' << rows[grant.node] << ' ' << grant.end - grant.begin << " 0\n";
  }
  data.close();
  plot(directory,
       "set terminal svg size 1100,260\nset output 'holders.svg'\nset xlabel 'seconds'\n"
       "set yrange [-0.5:" +
           std::to_string(row) + "]\nset ytics (" + tics +
           ")\nunset key\nplot 'holders.dat' using 1:2:3:4 with vectors nohead linewidth 8\n");
  fs::remove(directory / "holders.dat");
}

void plot_vacancies(const fs::path& directory, const std::vector<Vacancy>& vacancies) {
  std::ofstream data(directory / "gaps.dat");
  for (const Vacancy& vacancy : vacancies) data << vacancy.begin << ' ' << vacancy.length << '\n';
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

void fill_vacancies(ctemplate::TemplateDictionary& page, const std::vector<Vacancy>& vacancies) {
  std::map<std::string, std::vector<double>> by_fault;
  for (const Vacancy& vacancy : vacancies) by_fault[vacancy.fault].push_back(vacancy.length);
  for (auto& [fault, lengths] : by_fault) {
    std::sort(lengths.begin(), lengths.end());
    ctemplate::TemplateDictionary* row = page.AddSectionDictionary("VACANCY");
    row->SetValue("FAULT", fault);
    row->SetIntValue("COUNT", static_cast<long>(lengths.size()));
    row->SetValue("MEDIAN", seconds_text(lengths[lengths.size() / 2]));
    row->SetValue("WORST", seconds_text(lengths.back()));
  }
}

void fill_grants(ctemplate::TemplateDictionary& page, const std::vector<RoleGrant>& grants) {
  for (const RoleGrant& grant : grants) {
    ctemplate::TemplateDictionary* row = page.AddSectionDictionary("GRANT");
    row->SetIntValue("TOKEN", static_cast<long>(grant.token));
    row->SetValue("NODE", grant.node);
    row->SetValue("BEGIN", seconds_text(grant.begin));
    row->SetValue("LENGTH", seconds_text(grant.end - grant.begin));
    row->SetIntValue("OPERATIONS", static_cast<long>(grant.operations));
    row->SetIntValue("CHANGED", static_cast<long>(grant.changed));
  }
}

constexpr const char* kPage = R"({{%AUTOESCAPE context="HTML"}}<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Handovers of the singleton roles</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}
td,th{border:1px solid #999;padding:2px 8px;text-align:right}.bad{color:#b00}</style></head><body>
<h1>Handovers of the singleton roles</h1>
<p>{{EVENTS}} events, {{GRANTS}} grants, {{OPERATIONS}} cloud operations ({{CHANGED}} with effect).</p>
<p>Violations: {{VIOLATIONS}}</p>
{{#VIOLATION}}<p class="bad">{{WHAT}}</p>
{{/VIOLATION}}<h2>Holders</h2><img src="holders.svg" alt="Holder of the role over time">
<h2>Times without a holder</h2><img src="gaps.svg" alt="Time without a holder after each fault">
<table><tr><th>fault</th><th>count</th><th>median, s</th><th>worst, s</th></tr>
{{#VACANCY}}<tr><td>{{FAULT}}</td><td>{{COUNT}}</td><td>{{MEDIAN}}</td><td>{{WORST}}</td></tr>
{{/VACANCY}}</table>
<h2>Operations under each fencing token</h2>
<table><tr><th>token</th><th>holder</th><th>from, s</th><th>for, s</th><th>operations</th><th>with effect</th></tr>
{{#GRANT}}<tr><td>{{TOKEN}}</td><td>{{NODE}}</td><td>{{BEGIN}}</td><td>{{LENGTH}}</td><td>{{OPERATIONS}}</td><td>{{CHANGED}}</td></tr>
{{/GRANT}}</table>
</body></html>
)";

void write_page(const fs::path& directory, const std::vector<Event>& events) {
  const std::vector<RoleGrant> grants = collect_grants(events);
  const std::vector<Vacancy> vacancies = collect_vacancies(events);
  plot_holders(directory, grants);
  plot_vacancies(directory, vacancies);
  ctemplate::TemplateDictionary page("page");
  long operations = 0;
  long changed = 0;
  long violations = 0;
  for (const Event& event : events) {
    if (is_cloud_operation(event)) ++operations;
    if (is_cloud_operation(event) && event.changed) ++changed;
    if (event.kind != "violation") continue;
    ++violations;
    page.AddSectionDictionary("VIOLATION")->SetValue("WHAT", event.name);
  }
  page.SetIntValue("EVENTS", static_cast<long>(events.size()));
  page.SetIntValue("GRANTS", static_cast<long>(grants.size()));
  page.SetIntValue("OPERATIONS", operations);
  page.SetIntValue("CHANGED", changed);
  page.SetIntValue("VIOLATIONS", violations);
  fill_vacancies(page, vacancies);
  fill_grants(page, grants);
  if (!ctemplate::StringToTemplateCache("page", kPage, ctemplate::DO_NOT_STRIP)) {
    throw std::runtime_error("cannot parse the template of the page");
  }
  std::string html;
  if (!ctemplate::ExpandTemplate("page", ctemplate::DO_NOT_STRIP, &page, &html)) {
    throw std::runtime_error("cannot expand the template of the page");
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
    if (events.empty()) throw std::runtime_error("the history contains no events");
    fs::create_directories(output);
    write_page(output, events);
    std::cout << (fs::path(output) / "index.html").string() << "\n";
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "dunlinknot-report: %s\n", error.what());
    return 1;
  }
}
