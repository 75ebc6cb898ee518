#pragma once

#include <string>

namespace wagtailpick::processes {

/// A fresh temporary folder, removed at the end unless it is to be kept or an exception is on its
/// way: then its logs are needed, and its path is printed.
class WorkFolder {
 public:
  WorkFolder();
  ~WorkFolder();
  WorkFolder(const WorkFolder&) = delete;
  WorkFolder& operator=(const WorkFolder&) = delete;

  /// Path of a file or folder in it.
  std::string Path(const std::string& name) const { return path_ + "/" + name; }

  /// Writes a file and returns its path.
  std::string Write(const std::string& name, const std::string& content) const;

  /// Content of a file; empty when there is none.
  std::string Read(const std::string& name) const;

  /// Makes an empty folder out of `name`, whatever it held.
  std::string MakeEmpty(const std::string& name) const;

  /// Leaves the folder where it is at the end.
  void Keep() { keep_ = true; }

 private:
  std::string path_;
  bool keep_ = false;
};

}  // namespace wagtailpick::processes
