#pragma once

#include <string>

namespace wagtailpick::processes {

/// A new temporary folder. The destructor removes it, unless `Keep` was called or an exception is
/// propagating: then the logs in the folder are needed, and its path is printed.
class WorkFolder {
 public:
  WorkFolder();
  ~WorkFolder();
  WorkFolder(const WorkFolder&) = delete;
  WorkFolder& operator=(const WorkFolder&) = delete;

  /// Path of a file or folder in this folder.
  std::string Path(const std::string& name) const { return path_ + "/" + name; }

  /// Writes a file and returns its path.
  std::string Write(const std::string& name, const std::string& content) const;

  /// Content of a file; empty if the file does not exist.
  std::string Read(const std::string& name) const;

  /// Creates the empty folder `name`, removing any previous content, and returns its path.
  std::string MakeEmpty(const std::string& name) const;

  /// Keeps the folder after destruction.
  void Keep() { keep_ = true; }

 private:
  std::string path_;
  bool keep_ = false;
};

}  // namespace wagtailpick::processes
