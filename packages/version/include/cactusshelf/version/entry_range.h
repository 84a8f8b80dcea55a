#ifndef CACTUSSHELF_VERSION_ENTRY_RANGE_H_
#define CACTUSSHELF_VERSION_ENTRY_RANGE_H_

#include <cstddef>
#include <iterator>
#include <vector>

#include "cactusshelf/version/file_set.h"

namespace cactusshelf {

// All entries of one kind in a file set, ordered by file name and then as in the file. Valid as
// long as the file set. Does not use std::views::join, because clang 14 rejects the views of
// libstdc++ 12.
template <typename T>
class EntryRange {
 public:
  using Entries = const std::vector<T>& (ConfigFile::*)() const;

  class Iterator {
   public:
    using iterator_category = std::forward_iterator_tag;
    using value_type = T;
    using difference_type = std::ptrdiff_t;
    using pointer = const T*;
    using reference = const T&;

    Iterator() = default;
    Iterator(FileSet::Files::const_iterator file, FileSet::Files::const_iterator end,
             Entries entries)
        : file_(file), end_(end), entries_(entries) {
      SkipEmptyFiles();
    }

    reference operator*() const { return Current()[index_]; }
    pointer operator->() const { return &Current()[index_]; }

    Iterator& operator++() {
      ++index_;
      if (index_ == Current().size()) {
        index_ = 0;
        ++file_;
        SkipEmptyFiles();
      }
      return *this;
    }

    Iterator operator++(int) {
      Iterator before = *this;
      ++*this;
      return before;
    }

    friend bool operator==(const Iterator& a, const Iterator& b) {
      return a.file_ == b.file_ && a.index_ == b.index_;
    }

   private:
    const std::vector<T>& Current() const { return ((*file_->second).*entries_)(); }

    void SkipEmptyFiles() {
      while (file_ != end_ && Current().empty()) {
        ++file_;
      }
    }

    FileSet::Files::const_iterator file_;
    FileSet::Files::const_iterator end_;
    Entries entries_ = nullptr;
    std::size_t index_ = 0;
  };

  EntryRange(const FileSet& files, Entries entries) : files_(&files.files()), entries_(entries) {}

  Iterator begin() const { return {files_->begin(), files_->end(), entries_}; }
  Iterator end() const { return {files_->end(), files_->end(), entries_}; }
  bool empty() const { return begin() == end(); }

 private:
  const FileSet::Files* files_;
  Entries entries_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_ENTRY_RANGE_H_
