/// \file
/// Settings files for tests of the program.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

namespace dunebridge::app {

/// Writes files into the temporary directory and removes them after each test.
class FilesTest : public testing::Test {
  protected:
    /// Writes the file and returns its path.
    std::string write(const std::string& name, const std::string& text) {
        const auto path = testing::TempDir() + "dunebridge-" + std::to_string(::getpid()) + name;
        std::ofstream(path) << text;
        paths_.push_back(path);
        return path;
    }
    void TearDown() override {
        for (const auto& p : paths_) std::remove(p.c_str());
    }

  private:
    std::vector<std::string> paths_;
};

/// A valid settings file with one line of its workers' section and the port given.
inline std::string settings(const std::string& lease = "lease_s = 30.0", int port = 18080) {
    return "label = \"n0\"\ndomain = \"a\"\npublic_addr = \"127.0.0.1:" + std::to_string(port) +
           "\"\nback = \"127.0.0.1:" + std::to_string(port + 1) +
           "\"\nnew_field = 3\n[external]\ncloud = \"127.0.0.1:1\"\nstate = \"127.0.0.1:2\"\n"
           "[cluster]\ninitial_size = 1\nzones = [\"a\"]\nskew_ms = 5\n"
           "[[cluster.teams]]\nname = \"red\"\ncpus_max = 16\n"
           "[cluster.workers]\nreport_s = 3\n" +
           lease +
           "\ncancel_s = 50\n[cluster.state]\nrps = 200\nwrite_rps = 80\nvalue_kb = 16\n"
           "txn_ops = 48\n[cluster.cloud]\nrps = 3\nlist_lag_s = 8\n"
           "[cluster.quota]\ncpu = 0.1\nmemory_mb = 100\nfd_limit = 512\n";
}

}  // namespace dunebridge::app
